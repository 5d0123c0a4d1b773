//! Chooses witnesses: spread over data centres first, then the least used nodes.

use super::MemberRow;
use crate::NodeId;

/// Witnesses of a member, in three data centres where its region has as many.
const SET_SIZE: usize = 3;

/// Witnesses of a member whose region has two data centres: two in each, and one in another
/// region, so that the loss of either data centre leaves a majority.
const WIDE_SET_SIZE: usize = 5;

/// Chooses the witness set of `member`, sorted.
///
/// `uses` holds, for each row of `members`, the number of sets that name it. A member is its own
/// witness only if there are fewer than three other members.
pub fn choose_witnesses(members: &[MemberRow], uses: &[u32], member: &MemberRow) -> Vec<NodeId> {
    let size = set_size(members, member);
    let mut chosen: Vec<usize> = Vec::with_capacity(size);
    while chosen.len() < size {
        let best = (0..members.len())
            .filter(|index| !chosen.contains(index) && !members[*index].draining)
            .min_by_key(|index| rank(members, uses, member, &chosen, *index));
        let Some(best) = best else { break };
        chosen.push(best);
    }
    if chosen.len() == 2 && !chosen.iter().any(|index| members[*index].id == member.id) {
        chosen.pop();
    }
    let mut nodes: Vec<_> = chosen.into_iter().map(|index| members[index].id).collect();
    nodes.sort_unstable();
    nodes
}

fn set_size(members: &[MemberRow], member: &MemberRow) -> usize {
    let mut centres: Vec<&str> = members
        .iter()
        .filter(|row| row.info.region == member.info.region)
        .map(|row| &*row.info.data_centre)
        .collect();
    centres.sort_unstable();
    centres.dedup();
    let other_regions = members.iter().any(|row| row.info.region != member.info.region);
    if centres.len() == 2 && other_regions && members.len() > WIDE_SET_SIZE {
        WIDE_SET_SIZE
    } else {
        SET_SIZE.min(members.len())
    }
}

/// Sort key of a possible witness, the best first: not the member itself, fewest chosen witnesses
/// in its data centre, in the member's region, least used.
fn rank(
    members: &[MemberRow],
    uses: &[u32],
    member: &MemberRow,
    chosen: &[usize],
    index: usize,
) -> (bool, usize, bool, u32, NodeId) {
    let row = &members[index];
    let same_centre = chosen
        .iter()
        .filter(|other| members[**other].info.data_centre == row.info.data_centre)
        .count();
    let other_region = row.info.region != member.info.region;
    (row.id == member.id, same_centre, other_region, uses[index], row.id)
}
