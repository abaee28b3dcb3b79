//! Ordered map for keys that are inserted in ascending order.

use std::collections::VecDeque;

/// A sorted vector with binary search whose keys are inserted in ascending order.
///
/// Keys are mostly consecutive numbers, so the distance from the first key is a good guess of the
/// position. A removed entry leaves a gap; gaps are reclaimed once they outnumber the entries, so
/// that insertion and removal take amortized constant time.
///
/// ```
/// use cranberryhatch_core::SlabMap;
///
/// let mut map = SlabMap::default();
/// map.insert(1_u64, "a");
/// map.insert(2, "b");
/// assert_eq!(map.remove(&1), Some("a"));
/// assert_eq!(map.get(&2), Some(&"b"));
/// assert_eq!(map.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct SlabMap<K, V> {
    entries: VecDeque<(K, Option<V>)>,
    live: usize,
}

impl<K, V> Default for SlabMap<K, V> {
    fn default() -> Self {
        Self { entries: VecDeque::new(), live: 0 }
    }
}

impl<K: Ord + Copy + Into<u64>, V> SlabMap<K, V> {
    /// Returns the position of a key.
    fn position(&self, key: &K) -> Option<usize> {
        let (first, _) = self.entries.front()?;
        let distance = (*key).into().checked_sub((*first).into())?;
        // Keys ascend, so the position is never greater than the distance from the first key.
        let last = self.entries.len() - 1;
        let guess = usize::try_from(distance).unwrap_or(last).min(last);
        if self.entries[guess].0 == *key {
            return Some(guess);
        }
        let (mut low, mut high) = (0, guess);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.entries[middle].0 < *key {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        (self.entries[low].0 == *key).then_some(low)
    }

    /// Inserts a value under a key that is larger than all earlier ones.
    ///
    /// # Panics
    /// Panics if the key is not larger than all earlier ones.
    pub fn insert(&mut self, key: K, value: V) {
        assert!(self.entries.back().is_none_or(|(last, _)| *last < key), "keys must ascend");
        self.entries.push_back((key, Some(value)));
        self.live += 1;
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.position(key)?;
        self.entries[index].1.as_ref()
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.position(key)?;
        self.entries[index].1.as_mut()
    }

    /// Removes and returns the value of a key.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.position(key)?;
        let value = self.entries[index].1.take()?;
        self.live -= 1;
        while self.entries.front().is_some_and(|(_, value)| value.is_none()) {
            self.entries.pop_front();
        }
        if self.entries.len() > 2 * self.live + 16 {
            self.entries.retain(|(_, value)| value.is_some());
        }
        Some(value)
    }

    /// Iterates over the entries in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().filter_map(|(key, value)| Some((key, value.as_ref()?)))
    }

    /// Iterates over the entries in ascending order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().filter_map(|(key, value)| Some((&*key, value.as_mut()?)))
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.live
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.live == 0
    }
}
