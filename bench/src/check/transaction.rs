//! Rules on transactions: atomicity and serializability.
//!
//! The items of a list are in the order of the primary's log. Write-write, write-read and read-write dependencies form a
//! graph; a cycle in the graph means that the transactions are not serializable.

use std::collections::{BTreeMap, HashMap, HashSet};

use petgraph::algo::tarjan_scc;
use petgraph::graph::{DiGraph, NodeIndex};

use super::{Rule, Violation};
use crate::history::{Database, Databases, Kind, Outcome, Request};

pub fn check(requests: &[&Request], databases: &Databases) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (group, database) in databases {
        let requests: Vec<&Request> =
            requests.iter().filter(|request| request.group == *group).copied().collect();
        violations.extend(check_parts(group, database));
        let reads: Vec<Read<'_>> = requests.iter().filter_map(|request| read_of(request)).collect();
        violations.extend(reads.iter().filter_map(partial_read));
        violations.extend(find_cycle(group, &reads, database));
    }
    violations
}

/// The items of one list that a request read.
struct Read<'a> {
    id: u64,
    list: u32,
    /// The transaction that read the list; `None` for a plain read.
    tx: Option<&'a str>,
    items: Vec<(&'a str, &'a str)>,
}

fn read_of(request: &Request) -> Option<Read<'_>> {
    let Outcome::Done { rows } = &request.outcome else { return None };
    match &request.kind {
        Kind::List { list, .. } => {
            let items = rows.iter().filter_map(|(_, value)| value.split_once('/')).collect();
            Some(Read { id: request.id, list: *list, tx: None, items })
        }
        Kind::Transaction { tx, lists, read } => {
            let items = read.iter().filter_map(|value| value.split_once('/')).collect();
            Some(Read { id: request.id, list: lists.0, tx: Some(tx), items })
        }
        _ => None,
    }
}

/// Finds transactions of which the database holds only some parts.
fn check_parts(group: &str, database: &Database) -> Vec<Violation> {
    let mut found: BTreeMap<&str, HashSet<u32>> = BTreeMap::new();
    for item in &database.items {
        found.entry(&item.tx).or_default().insert(item.part);
    }
    let incomplete = found.iter().filter(|(_, parts)| parts.len() != 3);
    let violation = |(tx, parts): (&&str, &HashSet<u32>)| {
        Violation::new(Rule::Mixed, format!("{group} holds {} of 3 parts of {tx}", parts.len()))
    };
    incomplete.map(violation).collect()
}

/// Finds a transaction of which the read returned only one of the two items that it appended to the list.
fn partial_read(read: &Read<'_>) -> Option<Violation> {
    let visible: HashSet<(&str, &str)> = read.items.iter().copied().collect();
    let is_partial = |(tx, part): &&(&str, &str)| match *part {
        "0" => !visible.contains(&(*tx, "1")),
        "1" => !visible.contains(&(*tx, "0")),
        _ => false,
    };
    let (tx, part) = read.items.iter().find(is_partial)?;
    let seen = format!("request {} read only part {part} of {tx}", read.id);
    Some(Violation::new(Rule::Mixed, seen))
}

fn find_cycle(group: &str, reads: &[Read<'_>], database: &Database) -> Option<Violation> {
    let mut graph = DiGraph::<String, ()>::new();
    let mut nodes: HashMap<String, NodeIndex> = HashMap::new();
    let mut node = |graph: &mut DiGraph<String, ()>, name: &str| {
        *nodes.entry(name.to_owned()).or_insert_with(|| graph.add_node(name.to_owned()))
    };
    let lists = transactions_by_list(database);
    for order in lists.values() {
        for pair in order.windows(2) {
            let (earlier, later) = (node(&mut graph, pair[0]), node(&mut graph, pair[1]));
            graph.add_edge(earlier, later, ());
        }
    }
    for read in reads {
        let Some(order) = lists.get(&read.list) else { continue };
        let visible: HashSet<&str> = read.items.iter().map(|(tx, _)| *tx).collect();
        let name = read.tx.map_or_else(|| format!("request {}", read.id), ToOwned::to_owned);
        let reader = node(&mut graph, &name);
        // Items that were lost in a promotion have no place in the order.
        if let Some(last) = order.iter().rfind(|tx| visible.contains(**tx) && **tx != name) {
            let writer = node(&mut graph, last);
            graph.add_edge(writer, reader, ());
        }
        if let Some(first) = order.iter().find(|tx| !visible.contains(**tx) && **tx != name) {
            let writer = node(&mut graph, first);
            graph.add_edge(reader, writer, ());
        }
    }
    let mut components = tarjan_scc(&graph).into_iter();
    let component = components.find(|component| component.len() > 1)?;
    let names: Vec<&str> = component.iter().take(5).map(|at| graph[*at].as_str()).collect();
    let seen = format!("{group}: no serial order of {}", names.join(", "));
    Some(Violation::new(Rule::Mixed, seen))
}

/// Returns the transactions by list, in the order of the log.
fn transactions_by_list(database: &Database) -> BTreeMap<u32, Vec<&str>> {
    let mut lists: BTreeMap<u32, Vec<&str>> = BTreeMap::new();
    for item in &database.items {
        let order = lists.entry(item.list).or_default();
        if order.last() != Some(&item.tx.as_str()) {
            order.push(&item.tx);
        }
    }
    lists
}
