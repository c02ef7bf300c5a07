//! Matching of target paths with delegations: path patterns and hash prefixes (TUF specification, section
//! 4.5), hashed bins (TAP 15). Matching a pattern takes at most time proportional to its length times that of
//! the path.

use ring::digest::{digest, SHA256};

use crate::metadata::{Delegation, RoleName, SuccinctRoles};

/// Matches one segment of a path with one segment of a pattern: `*` stands for any run of bytes, `?` for any
/// one byte, `[` for itself.
fn segment_matches(pattern: &[u8], text: &[u8]) -> bool {
    let (mut p, mut t) = (0, 0);
    // The last `*` and where in the text its run ends.
    let mut star: Option<(usize, usize)> = None;
    while t < text.len() {
        if p < pattern.len() && pattern[p] == b'*' {
            star = Some((p, t));
            p += 1;
        } else if p < pattern.len() && (pattern[p] == b'?' || pattern[p] == text[t]) {
            (p, t) = (p + 1, t + 1);
        } else if let Some((star_at, run_end)) = star {
            // Mismatch: extend the run of the last `*` by one byte and try again.
            star = Some((star_at, run_end + 1));
            (p, t) = (star_at + 1, run_end + 1);
        } else {
            return false;
        }
    }
    pattern[p..].iter().all(|c| *c == b'*')
}

/// Whether a path pattern matches a path. Wildcards never match a slash (section 4.5).
pub fn pattern_matches(pattern: &str, path: &str) -> bool {
    let (mut pattern_segments, mut path_segments) = (pattern.split('/'), path.split('/'));
    loop {
        match (pattern_segments.next(), path_segments.next()) {
            (None, None) => return true,
            (Some(p), Some(t)) if segment_matches(p.as_bytes(), t.as_bytes()) => {}
            _ => return false,
        }
    }
}

/// SHA-256 of a target path in lower-case hex, as `path_hash_prefixes` refers to it (section 4.5).
pub fn path_hash(path: &str) -> String {
    hex::encode(digest(&SHA256, path.as_bytes()))
}

/// Whether a delegation covers a path, so that its role may list that target. An empty hash prefix covers
/// nothing.
pub fn delegation_covers(role: &Delegation, path: &str) -> bool {
    if let Some(prefixes) = &role.path_hash_prefixes {
        let hash = path_hash(path);
        return prefixes.iter().any(|prefix| !prefix.is_empty() && hash.starts_with(prefix.as_str()));
    }
    role.paths.iter().flatten().any(|pattern| pattern_matches(pattern, path))
}

/// The role of the bin that a path falls into (TAP 15): the prefix and the first `bit_length` bits of the
/// path's hash in hex, padded with zeros to the digits of the last bin.
pub fn bin_role(bins: &SuccinctRoles, path: &str) -> RoleName {
    let hash = digest(&SHA256, path.as_bytes());
    let first_bits =
        u32::from_be_bytes(hash.as_ref()[..4].try_into().expect("a SHA-256 hash is longer than 4 bytes"));
    let bin = u64::from(first_bits) >> (32 - bins.bit_length);
    let digits = bins.bit_length.div_ceil(4) as usize;
    RoleName(format!("{}-{bin:0digits$x}", bins.name_prefix))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case("packs/*.tgz", "packs/a.tgz", true)]
    #[case("packs/*.tgz", "packs/a.tgz.sig", false)]
    #[case("packs/*", "packs/sub/a", false)]
    #[case("*", "a", true)]
    #[case("*", "a/b", false)]
    #[case("a/?", "a/b", true)]
    #[case("a/?", "a/", false)]
    #[case("*a*b*", "xxaxxbxx", true)]
    #[case("*a*b*", "xxbxxaxx", false)]
    #[case("", "", true)]
    #[case("a", "a/", false)]
    fn patterns_match_as_specified(#[case] pattern: &str, #[case] path: &str, #[case] expected: bool) {
        assert_eq!(pattern_matches(pattern, path), expected);
    }

    /// Reference implementation by plain recursion.
    fn matches_recursively(pattern: &[u8], text: &[u8]) -> bool {
        match (pattern.first(), text.first()) {
            (None, None) => true,
            (Some(b'*'), _) => {
                matches_recursively(&pattern[1..], text)
                    || (!text.is_empty() && matches_recursively(pattern, &text[1..]))
            }
            (Some(b'?'), Some(_)) => matches_recursively(&pattern[1..], &text[1..]),
            (Some(a), Some(b)) => a == b && matches_recursively(&pattern[1..], &text[1..]),
            _ => false,
        }
    }

    proptest! {
        #[test]
        fn segment_matching_agrees_with_the_reference(pattern in "[ab*?]{0,8}", text in "[ab]{0,8}") {
            let expected = matches_recursively(pattern.as_bytes(), text.as_bytes());
            prop_assert_eq!(segment_matches(pattern.as_bytes(), text.as_bytes()), expected);
        }
    }

    #[rstest]
    fn bin_names_have_the_prefix_and_a_padded_number() {
        let bins = SuccinctRoles { keyids: vec![], threshold: 1, bit_length: 10, name_prefix: "bin".into() };
        for n in 0..200 {
            let name = bin_role(&bins, &format!("pack-{n}")).0;
            let number = u64::from_str_radix(name.strip_prefix("bin-").unwrap(), 16).unwrap();
            assert!(name.len() == 7 && number < 1024, "{name}");
        }
    }
}
