//! Map for small sets: a sorted vector with binary search.

/// A sorted vector of keys and values.
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

    /// Inserts a value and returns the one that the key had.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(place) => Some(std::mem::replace(&mut self.entries[place].1, value)),
            Err(place) => {
                self.entries.insert(place, (key, value));
                None
            }
        }
    }

    /// Place of a key among the sorted ones.
    #[must_use]
    pub fn index_of(&self, key: &K) -> Option<usize> {
        self.find(key).ok()
    }

    /// Value of the key at a place.
    #[must_use]
    pub fn value_at(&self, place: usize) -> Option<&V> {
        self.entries.get(place).map(|(_, value)| value)
    }

    /// Value of the key at a place, to change it.
    pub fn value_at_mut(&mut self, place: usize) -> Option<&mut V> {
        self.entries.get_mut(place).map(|(_, value)| value)
    }

    /// Value of a key.
    #[must_use]
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|place| &self.entries[place].1)
    }

    /// Value of a key, to change it.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|place| &mut self.entries[place].1)
    }

    /// Value of a key, which is made when it is missing.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let place = match self.find(&key) {
            Ok(place) => place,
            Err(place) => {
                self.entries.insert(place, (key, make()));
                place
            }
        };
        &mut self.entries[place].1
    }

    /// Removes a key.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).ok().map(|place| self.entries.remove(place).1)
    }

    /// Whether a key is present.
    #[must_use]
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
    {
        self.find(key).is_ok()
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// All entries in the order of their keys, to change the values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
