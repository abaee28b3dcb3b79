//! Ordered map for large sets that change often.

/// Maximum number of entries in a chunk; larger chunks move more entries per insertion.
const MAX_CHUNK: usize = 128;

/// An ordered map made of sorted chunks with binary search.
///
/// Insertion and removal move at most one chunk, so that a map of a million entries stays cheap to
/// change at any position. Keys inserted in ascending order fill whole chunks.
///
/// ```
/// use cranberryhatch_core::ChunkMap;
///
/// let mut map = ChunkMap::default();
/// map.insert(2, "b");
/// map.insert(1, "a");
/// assert_eq!(map.first(), Some((&1, &"a")));
/// assert_eq!(map.remove(&1), Some("a"));
/// assert_eq!(map.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct ChunkMap<K, V> {
    // The last key of each chunk, kept separately so that a search touches little memory.
    last_keys: Vec<K>,
    chunks: Vec<Vec<(K, V)>>,
    len: usize,
}

impl<K, V> Default for ChunkMap<K, V> {
    fn default() -> Self {
        Self { last_keys: Vec::new(), chunks: Vec::new(), len: 0 }
    }
}

impl<K: Ord + Clone, V> ChunkMap<K, V> {
    /// Returns the index of the first chunk whose last key is not below `key`.
    fn chunk_of(&self, key: &K) -> usize {
        self.last_keys.partition_point(|last| last < key)
    }

    fn position_of(&self, key: &K) -> Option<(usize, usize)> {
        let chunk = self.chunk_of(key);
        let pos = self.chunks.get(chunk)?.binary_search_by(|(k, _)| k.cmp(key)).ok()?;
        Some((chunk, pos))
    }

    /// Inserts a value and returns the previous value of the key.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let mut at = self.chunk_of(&key);
        if at == self.chunks.len() {
            self.push(key, value);
            return None;
        }
        let mut pos = match self.chunks[at].binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(pos) => return Some(std::mem::replace(&mut self.chunks[at][pos].1, value)),
            Err(pos) => pos,
        };
        if self.chunks[at].len() >= MAX_CHUNK {
            let upper = self.chunks[at].split_off(MAX_CHUNK / 2);
            let last = self.chunks[at][MAX_CHUNK / 2 - 1].0.clone();
            self.last_keys.insert(at, last);
            self.chunks.insert(at + 1, upper);
            if pos > MAX_CHUNK / 2 {
                pos -= MAX_CHUNK / 2;
                at += 1;
            } else if pos == MAX_CHUNK / 2 {
                self.last_keys[at] = key.clone();
            }
        }
        self.chunks[at].insert(pos, (key, value));
        self.len += 1;
        None
    }

    /// Appends an entry whose key is larger than all others.
    fn push(&mut self, key: K, value: V) {
        self.len += 1;
        if let (Some(last), Some(chunk)) = (self.last_keys.last_mut(), self.chunks.last_mut())
            && chunk.len() < MAX_CHUNK
        {
            *last = key.clone();
            return chunk.push((key, value));
        }
        self.last_keys.push(key.clone());
        self.chunks.push(vec![(key, value)]);
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        let (chunk, pos) = self.position_of(key)?;
        Some(&self.chunks[chunk][pos].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let (chunk, pos) = self.position_of(key)?;
        Some(&mut self.chunks[chunk][pos].1)
    }

    /// Removes and returns the value of a key.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let (chunk, pos) = self.position_of(key)?;
        Some(self.take(chunk, pos).1)
    }

    /// Returns the entry with the smallest key.
    #[must_use]
    pub fn first(&self) -> Option<(&K, &V)> {
        let (key, value) = self.chunks.first()?.first()?;
        Some((key, value))
    }

    /// Removes and returns the entry with the smallest key.
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        if self.is_empty() { None } else { Some(self.take(0, 0)) }
    }

    /// Iterates over the entries from a key on, in ascending order.
    pub fn range(&self, from: &K) -> impl Iterator<Item = (&K, &V)> {
        let at = self.chunk_of(from);
        let skip = self.chunks.get(at).map_or(0, |chunk| chunk.partition_point(|(k, _)| k < from));
        let entries = self.chunks.iter().skip(at).flatten().skip(skip);
        entries.map(|(key, value)| (key, value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn take(&mut self, chunk: usize, pos: usize) -> (K, V) {
        let entries = &mut self.chunks[chunk];
        let entry = entries.remove(pos);
        self.len -= 1;
        let left = entries.len();
        let Some((last, _)) = entries.last() else {
            self.chunks.remove(chunk);
            self.last_keys.remove(chunk);
            return entry;
        };
        if pos == left {
            self.last_keys[chunk] = last.clone();
        }
        let next = self.chunks.get(chunk + 1).map_or(MAX_CHUNK, Vec::len);
        if left < MAX_CHUNK / 4 && left + next <= MAX_CHUNK / 2 {
            // Without merging, scattered removals would leave many nearly empty chunks.
            let next = self.chunks.remove(chunk + 1);
            self.chunks[chunk].extend(next);
            self.last_keys.remove(chunk);
        }
        entry
    }
}
