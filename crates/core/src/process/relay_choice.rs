//! Choice of the relays through which nodes hear of one another.
//!
//! Load that this answers: a fleet of hundreds of hosts in which every node needs facts about all
//! others that are at most a second old. If each node told a few others drawn at random, the time
//! until a given one hears of it would grow with the fleet. So in each data centre the first hosts by
//! name that are not silent are *relays*. A node exchanges datagrams with the relays of its data
//! centre only, and relays besides with one relay of each other data centre: facts need three steps,
//! whatever the size of the fleet, and the cost of a node is constant, that of a relay linear in the
//! hosts of its data centre.
//!
//! Nobody elects the relays: each node chooses them by what it knows. Two nodes that disagree only
//! exchange more datagrams. A relay that falls silent is passed over, and asked again now and then.

/// Relays of a data centre: one may fall silent, and the other goes on until that is noticed.
pub const RELAYS_PER_CENTRE: usize = 2;

/// A host, as seen from the node that chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayCandidate<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Data centre of the host.
    pub data_centre: &'a str,
    /// Whether it was asked and did not answer in time.
    pub silent: bool,
}

/// The relays of one data centre, by host name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreRelays<'a> {
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Relays, the first by name first.
    pub relays: Vec<&'a str>,
    /// Silent hosts before them by name, which may answer again.
    pub silent: Vec<&'a str>,
}

/// Returns the relays of each data centre, sorted by data centre. `candidates` are sorted by host.
pub fn choose_relays<'a>(
    candidates: impl Iterator<Item = RelayCandidate<'a>>,
) -> Vec<CentreRelays<'a>> {
    let mut centres: Vec<CentreRelays<'a>> = Vec::new();
    for RelayCandidate { host, data_centre, silent } in candidates {
        let index = match centres.binary_search_by(|row| row.data_centre.cmp(data_centre)) {
            Ok(index) => index,
            Err(index) => {
                let row = CentreRelays { data_centre, relays: Vec::new(), silent: Vec::new() };
                centres.insert(index, row);
                index
            }
        };
        let centre = &mut centres[index];
        match silent {
            _ if centre.relays.len() == RELAYS_PER_CENTRE => {}
            true => centre.silent.push(host),
            false => centre.relays.push(host),
        }
    }
    centres
}

/// Returns the relays in the order in which they take up duties for the whole fleet: the first of
/// each data centre, then the second of each.
pub fn order_leaders<'a>(centres: &[CentreRelays<'a>]) -> Vec<&'a str> {
    let of_rank = |rank: usize| centres.iter().filter_map(move |row| row.relays.get(rank).copied());
    (0..RELAYS_PER_CENTRE).flat_map(of_rank).collect()
}
