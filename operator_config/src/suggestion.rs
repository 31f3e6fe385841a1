//! Suggestions for misspelt names.

/// The Jaro-Winkler similarity, from 0 to 1, that a name must exceed to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the known name that is most similar to `misspelt`, if any is similar enough.
pub(crate) fn closest_name<'a>(
    known: impl Iterator<Item = &'a str>,
    misspelt: &str,
) -> Option<&'a str> {
    let scored = known.map(|name| (strsim::jaro_winkler(name, misspelt), name));
    scored
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .max_by(|first, second| first.0.total_cmp(&second.0))
        .map(|(_, name)| name)
}
