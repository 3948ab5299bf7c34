//! Which idle residents go to make room on an engine.

use super::rooms::{Base, Idle, ModelId, Room, Wanted};

/// Whether the base model of an adapter must be loaded first.
pub fn loads_base(wanted: &Wanted, room: &Room) -> bool {
    wanted.base.is_some() && matches!(room.base, Base::Pinned(_))
}

/// Memory that the loads take, MB.
pub fn memory(wanted: &Wanted, room: &Room) -> u64 {
    let base = match wanted.base {
        Some(base) if loads_base(wanted, room) => base.memory,
        _ => 0,
    };
    wanted.weights.memory + base
}

/// Memory that evictions must free, MB.
fn lack(wanted: &Wanted, room: &Room) -> u64 {
    memory(wanted, room).saturating_sub(room.free)
}

/// Whether the resident may go: not the base of the wanted adapter.
fn evictable(wanted: &Wanted, idle: &Idle) -> bool {
    wanted.base.is_none_or(|b| b.model != idle.model)
}

/// Cost of evicting the cheapest residents until there is room; `None` when
/// they are too few or cost more than `most`.
pub fn eviction_cost(wanted: &Wanted, room: &Room, most: f64) -> Option<f64> {
    let mut lack = lack(wanted, room);
    let mut cost = 0.0;
    for idle in room.idle {
        if lack == 0 {
            break;
        }
        if !evictable(wanted, idle) {
            continue;
        }
        cost += idle.cost;
        if cost > most {
            return None;
        }
        lack = lack.saturating_sub(idle.memory);
    }
    (lack == 0).then_some(cost)
}

/// The residents that go: the cheapest until there is room, less those that
/// the later ones made unnecessary, the dearest spared first.
pub fn evictions(wanted: &Wanted, room: &Room) -> Option<Vec<ModelId>> {
    let lack = lack(wanted, room);
    let mut freed = 0;
    let mut chosen = Vec::new();
    for idle in room.idle {
        if freed >= lack {
            break;
        }
        if evictable(wanted, idle) {
            freed += idle.memory;
            chosen.push(*idle);
        }
    }
    if freed < lack {
        return None;
    }
    let mut evict = Vec::new();
    for idle in chosen.iter().rev() {
        if freed - idle.memory >= lack {
            freed -= idle.memory;
            continue;
        }
        evict.push(idle.model);
    }
    Some(evict)
}
