//! Tests that texts have the encoding of strings, by which processes of the last release read and write them.

use std::collections::BTreeMap;
use std::fmt::Debug;

use cactushatch::broker::session::{Body, Operation};
use cactushatch::id;
use cactushatch::statement::{Access, Answer, Code, Id, State, Template, Text};
use cactushatch::wire::{Forward, Forwarded, Load, Step};
use proptest::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The messages with strings, in which no field moved.
mod last_release {
    use super::{Access, BTreeMap, Deserialize, Load, Serialize, State, id};
    use cactushatch::proxy::floor::Mark;
    use cactushatch::wire::{Identity, LastWrite};

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Forward {
        pub request: String,
        pub database: String,
        pub identity: Option<Identity>,
        pub revision: id::Revision,
        pub values: BTreeMap<String, String>,
        pub last_write: Option<LastWrite>,
        pub step: Step,
        pub continues: bool,
        pub is_stranded: bool,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Step {
        Single(Operation),
        InTransaction { operation: Operation, read_only: bool },
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Operation {
        pub access: Access,
        pub body: Body,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Body {
        Text(String),
        Prepared { template: Template, arguments: String },
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Template {
        pub access: Access,
        pub text: String,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Forwarded {
        NotServing,
        Handled { reply: Vec<Answer>, is_open: bool, written: Option<Mark>, load: Load },
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Answer {
        Row(String),
        Done(String),
        Failed { code: Code, text: String },
        Ready { state: State, position: Option<Mark> },
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum Code {
        Busy,
        Aborted,
        Lagging,
        ReadOnly,
        Misrouted,
        TooManyConnections,
        Unknown,
        Timeout,
        Failed,
        NotAuthenticated,
        NoDatabase,
        NoStatement,
        Malformed,
        Other(String),
    }
}

/// Checks that both messages have the same encoding, and that each side reads that of the other.
fn assert_same<N, O>(new: &N, old: &O)
where
    N: Debug + PartialEq + Serialize + DeserializeOwned,
    O: Debug + PartialEq + Serialize + DeserializeOwned,
{
    let bytes = postcard::to_stdvec(new).expect("it is encoded");
    assert_eq!(bytes, postcard::to_stdvec(old).expect("it is encoded"));
    assert_eq!(&postcard::from_bytes::<N>(&bytes).expect("it is decoded"), new);
    assert_eq!(&postcard::from_bytes::<O>(&bytes).expect("it is decoded"), old);
}

fn forward(id: &str, values: &BTreeMap<String, String>, step: Step) -> Forward {
    let values =
        values.iter().map(|(name, value)| (name.as_str().into(), value.as_str().into())).collect();
    Forward {
        request: Id::new(id),
        database: "lepu270".to_owned(),
        identity: None,
        revision: id::Revision(7),
        values,
        last_write: None,
        step,
        continues: false,
        is_stranded: true,
    }
}

fn old_forward(
    id: &str,
    values: &BTreeMap<String, String>,
    step: last_release::Step,
) -> last_release::Forward {
    last_release::Forward {
        request: id.to_owned(),
        database: "lepu270".to_owned(),
        identity: None,
        revision: id::Revision(7),
        values: values.clone(),
        last_write: None,
        step,
        continues: false,
        is_stranded: true,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn forwarded_statements_have_the_encoding_of_the_last_release(
        id in ".{0,40}",
        text in "(?s).{0,300}",
        arguments in "(?s).{0,300}",
        values in prop::collection::btree_map(".{0,20}", "(?s).{0,200}", 0..4),
    ) {
        let access = Access::Write;
        let operation = Operation { access, body: Body::Text(text.as_str().into()) };
        let body = last_release::Body::Text(text.clone());
        let old = last_release::Operation { access, body };
        assert_same(
            &forward(&id, &values, Step::Single(operation)),
            &old_forward(&id, &values, last_release::Step::Single(old)),
        );
        let template = Template { access, text: text.as_str().into() };
        let body = Body::Prepared { template, arguments: arguments.as_str().into() };
        let operation = Operation { access, body };
        let template = last_release::Template { access, text };
        let body = last_release::Body::Prepared { template, arguments };
        let old = last_release::Operation { access, body };
        assert_same(
            &forward(&id, &values, Step::InTransaction { operation, read_only: true }),
            &old_forward(
                &id,
                &values,
                last_release::Step::InTransaction { operation: old, read_only: true },
            ),
        );
    }

    #[test]
    fn forwarded_answers_have_the_encoding_of_the_last_release(
        row in "(?s).{0,300}", signature in ".{0,40}", code in ".{0,20}", text in "(?s).{0,300}",
    ) {
        let load = Load::default();
        let reply = vec![
            Answer::Row(row.as_str().into()),
            Answer::Done(signature.as_str().into()),
            Answer::Failed { code: Code::Other(code.as_str().into()), text: text.as_str().into() },
            Answer::Failed { code: Code::Malformed, text: text.as_str().into() },
            Answer::Ready { state: State::Failed, position: None },
        ];
        let new = Forwarded::Handled { reply, is_open: true, written: None, load: load.clone() };
        let reply = vec![
            last_release::Answer::Row(row),
            last_release::Answer::Done(signature),
            last_release::Answer::Failed { code: last_release::Code::Other(code), text: text.clone() },
            last_release::Answer::Failed { code: last_release::Code::Malformed, text },
            last_release::Answer::Ready { state: State::Failed, position: None },
        ];
        let old = last_release::Forwarded::Handled { reply, is_open: true, written: None, load };
        assert_same(&new, &old);
    }

    #[test]
    fn texts_of_any_bytes_survive_a_frame(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let text = Text::from(bytes.as_slice());
        let encoded = postcard::to_stdvec(&text).expect("it is encoded");
        let decoded: Text = postcard::from_bytes(&encoded).expect("it is decoded");
        prop_assert_eq!(decoded.as_bytes(), bytes.as_slice());
        prop_assert_eq!(decoded, text);
    }
}
