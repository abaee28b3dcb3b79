//! Map for small collections: a sorted vector with binary search.

/// A map from keys to values, stored as a sorted vector.
///
/// ```
/// use cranberryhatch_fleet::VecMap;
///
/// let mut map = VecMap::default();
/// map.insert(2, "b");
/// map.insert(1, "a");
/// assert_eq!(map.iter().next(), Some((&1, &"a")));
/// ```
#[derive(Clone, Debug)]
pub struct VecMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for VecMap<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Ord, V> VecMap<K, V> {
    fn find<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.entries.binary_search_by(|(known, _)| known.borrow().cmp(key))
    }

    /// Inserts a value and returns the previous value of the key.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the index of a key in the sort order.
    #[must_use]
    pub fn index_of(&self, key: &K) -> Option<usize> {
        self.find(key).ok()
    }

    /// Returns the value at an index.
    #[must_use]
    pub fn value_at(&self, index: usize) -> Option<&V> {
        self.entries.get(index).map(|(_, value)| value)
    }

    /// Returns a mutable reference to the value at an index.
    pub fn value_at_mut(&mut self, index: usize) -> Option<&mut V> {
        self.entries.get_mut(index).map(|(_, value)| value)
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|index| &self.entries[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|index| &mut self.entries[index].1)
    }

    /// Returns the value of a key, inserting the result of `make` first if the key is missing.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.find(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|index| self.entries.remove(index).1)
    }

    /// Returns whether the key is present.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).is_ok()
    }

    /// Keeps only the entries for which `keep` returns `true`.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Iterates over the entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
