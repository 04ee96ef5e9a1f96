//! For each checker, one history that it accepts and several that it rejects.

mod text;

use corianderyoke_history::check;
use corianderyoke_history::Property;

/// A valid history, and tails that each add a violation to it.
struct Case {
    property: Property,
    good: &'static str,
    bad: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        property: Property::Replicas,
        good: "0 c replica_decided model=m upstream=u bytes=9 fence=1
               1 c order_sent order=o op=load model=m upstream=u zone=z fence=1
               2 u replica_loaded model=m upstream=u
               3 c order_sent order=o op=unload model=m upstream=u zone=z fence=1
               4 u replica_unloaded model=m upstream=u
               5 c replica_released model=m upstream=u",
        bad: &[
            "6 c order_sent order=o op=load model=m upstream=u zone=z fence=1",
            "6 u replica_loaded model=m upstream=u",
            "6 c replica_decided model=m upstream=u bytes=9 fence=1
             7 u replica_loaded model=m upstream=u
             8 c replica_released model=m upstream=u",
            "6 d intents_read upstream=u replicas=[]
             7 u replica_loaded model=m upstream=u",
        ],
    },
    Case {
        property: Property::Memory,
        good: "0 c upstream_memory upstream=u bytes=10
               1 c replica_decided model=m upstream=u bytes=6 fence=1
               2 c replica_decided model=m upstream=u bytes=6 fence=2
               3 c replica_decided model=n upstream=u bytes=4 fence=3
               4 c replica_released model=n upstream=u",
        bad: &[
            "5 d replica_decided model=o upstream=u bytes=5 fence=4",
            r#"5 d intents_read upstream=u replicas=[{"model":"n","bytes":11}]"#,
            "5 u upstream_overcommit upstream=u",
        ],
    },
    Case {
        property: Property::Waiting,
        good: "0 r call request=q1 open=true deadline_us=1000000
               0 r call request=q2 open=true deadline_us=1000000
               0 r call request=q3 open=true deadline_us=1000000
               0 s call request=q4 open=true deadline_us=1000000
               0 s call request=q5 open=true deadline_us=1000000
               900 r call_started request=q1
               1000 r refusal request=q2 outcome=not_run code=wait
               1000 r caller_gone request=q3
               1000 h process_paused target=s
               5000 h process_resumed target=s
               5200 s call_started request=q4
               5200 h process_killed target=s
               9000 r answer request=q1 whole=true",
        bad: &[
            "9000 r call request=q6 open=true deadline_us=1000000
             10300 r call_started request=q6",
            "9000 r call request=q6 open=true deadline_us=1000000
             19000 h process_start role=router",
        ],
    },
    Case {
        property: Property::Identity,
        good: "0 o key_issued key=k team=t
               1 r call request=q1 key=k open=false deadline_us=9
               1 r call request=q2 open=true deadline_us=9
               2 r admission request=q1 team=t tokens=3
               2 r upstream_send request=q1 attempt=a1 team=t upstream=u zone=z
               2 r upstream_send request=q2 attempt=a2 team= upstream=u zone=z",
        bad: &[
            "3 r upstream_send request=q1 attempt=a3 team=other upstream=u zone=z",
            "3 r admission request=q1 team=other tokens=3",
            "3 r upstream_send request=q3 attempt=a3 team=t upstream=u zone=z",
            "3 r call request=q4 open=false deadline_us=9
             4 r upstream_send request=q4 attempt=a4 team=t upstream=u zone=z",
        ],
    },
    Case {
        property: Property::Secrecy,
        good: r#"0 h upstream_saw upstream=u headers=["host","accept"] leaks=0"#,
        bad: &[
            r#"1 h upstream_saw upstream=u headers=["authorization"] leaks=0"#,
            "1 h upstream_saw upstream=u headers=[] leaks=2",
        ],
    },
    Case {
        property: Property::Revocation,
        good: "0 o key_issued key=k team=t
               1 r call request=q1 key=k open=false deadline_us=9
               2 r admission request=q1 team=t tokens=3
               1000 o key_revoked key=k
               5900 r admission request=q1 team=t tokens=3
               7000 r answer request=q1 whole=false
               7000 r refusal request=q1 outcome=not_run code=key",
        bad: &[
            "7000 r call request=q2 key=k open=false deadline_us=9
             7000 r admission request=q2 team=t tokens=3",
            "7000 r answer request=q1 whole=true",
            "7000 r upstream_send request=q1 attempt=a1 team=t upstream=u zone=z",
        ],
    },
    Case {
        property: Property::Limits,
        good: "0 o team_limit team=t rate=10 burst=20
               0 r admission request=q1 team=t tokens=20
               1000 s admission request=q2 team=t tokens=30
               1500 s returned request=q2 team=t tokens=20
               2000 r admission request=q3 team=t tokens=10
               2000 o team_limit team=t rate=20 burst=40
               2000 r admission request=q4 team=t tokens=20
               3000 s admission request=q5 team=t tokens=20
               3000 o team_limit team=t rate=1 burst=2
               8500 s admission request=q6 team=t tokens=2
               9500 s admission request=q7 team=t tokens=1",
        bad: &[
            "9500 r admission request=q8 team=t tokens=0.1",
            "9500 r admission request=q8 team=other tokens=0.1",
            "9600 s returned request=q7 team=t tokens=2",
            "60000 r admission request=q8 team=t tokens=2
             60000 s admission request=q9 team=t tokens=1",
        ],
    },
    Case {
        property: Property::Fresh,
        good: "0 h upstream_fresh upstream=u bears=1 span_us=9000000 announced=true
               1 r upstream_send request=q1 attempt=a1 team= upstream=u zone=z
               2 r upstream_finish attempt=a1 upstream=u outcome=ran
               3 s upstream_send request=q2 attempt=a2 team= upstream=u zone=z
               4 h process_killed target=s
               5 r upstream_send request=q3 attempt=a3 team= upstream=u zone=z
               9001 r upstream_send request=q4 attempt=a4 team= upstream=u zone=z
               9002 h upstream_fresh upstream=u bears=1 span_us=9000000 announced=false
               9003 r upstream_send request=q5 attempt=a5 team= upstream=u zone=z",
        bad: &[
            "11003 r upstream_send request=q6 attempt=a6 team= upstream=u zone=z",
            "11003 h upstream_collapsed upstream=u",
        ],
    },
    Case {
        property: Property::Zones,
        good: r#"0 o zone_drained zone=z
               4900 r upstream_send request=q1 attempt=a1 team= upstream=u zone=z
               6000 r upstream_send request=q2 attempt=a2 team= upstream=v zone=y
               6000 c order_sent order=o op=unload model=m upstream=u zone=z fence=1
               6000 r entry zones=["y"]
               7000 o zone_restored zone=z
               8000 r entry zones=["y","z"]
               9000 o zone_drained zone=z"#,
        bad: &[
            "14100 r upstream_send request=q3 attempt=a3 team= upstream=u zone=z",
            "14100 c order_sent order=o op=load model=m upstream=u zone=z fence=1",
            r#"14100 r entry zones=["y","z"]"#,
        ],
    },
    Case {
        property: Property::Answers,
        good: "0 r call request=q1 open=true deadline_us=1000000
               0 s call request=q2 open=true deadline_us=1000000
               0 r call request=q3 open=true deadline_us=1000000
               1 h process_killed target=s
               2 b received request=q1 ending=whole digest=d1 expected=d1
               2 b received request=q2 ending=cut digest=d2 expected=d3
               2 b received request=q3 ending=error digest=d2 expected=d3",
        bad: &[
            "3 b received request=q4 ending=whole digest=d1 expected=d4",
            "3 b received request=q1 ending=whole digest=d1 expected=d1",
            "3 r call request=q4 open=true deadline_us=1000000
             4 b received request=q4 ending=cut digest=d1 expected=d4",
        ],
    },
    Case {
        property: Property::Refusals,
        good: "0 r upstream_send request=q1 attempt=a1 team= upstream=u zone=z
               1 r upstream_finish attempt=a1 upstream=u outcome=not_run
               2 r refusal request=q1 outcome=not_run code=busy
               3 r upstream_send request=q2 attempt=a2 team= upstream=u zone=z
               4 r upstream_finish attempt=a2 upstream=u outcome=unknown
               5 r refusal request=q2 outcome=unknown code=lost
               6 u upstream_ran attempt=a2 upstream=u",
        bad: &[
            "7 u upstream_ran attempt=a1 upstream=u",
            "7 r refusal request=q2 outcome=not_run code=busy",
            "7 r upstream_send request=q3 attempt=a3 team= upstream=u zone=z
             8 r refusal request=q3 outcome=not_run code=busy",
        ],
    },
    Case {
        property: Property::Once,
        good: "0 h service_run service=s key=t/k1
               1 h service_run service=s key=t/k2",
        bad: &["2 h service_run service=other key=t/k1"],
    },
    Case {
        property: Property::Leaving,
        good: "0 p upstream_leaving upstream=u
               4900 r upstream_send request=q1 attempt=a1 team= upstream=u zone=z
               6000 r upstream_send request=q2 attempt=a2 team= upstream=v zone=z
               7000 p upstream_joined upstream=u
               8000 r upstream_send request=q3 attempt=a3 team= upstream=u zone=z
               9000 p upstream_leaving upstream=u",
        bad: &[
            "14100 r upstream_send request=q4 attempt=a4 team= upstream=u zone=z",
            "14100 c order_sent order=o op=load model=m upstream=u zone=z fence=1",
        ],
    },
    Case {
        property: Property::Shutdown,
        good: "0 r call request=q1 open=true deadline_us=9
               0 r call request=q2 open=true deadline_us=9
               1 r call_started request=q1
               2 r shutdown_begin
               3 r answer request=q1 whole=true
               3 r refusal request=q2 outcome=not_run code=leaving
               4 r shutdown_end
               5 t call request=q4 key=k open=false deadline_us=9
               6 t call_started request=q4
               7 t shutdown_begin
               8 h key_revoked key=k
               9 t answer request=q4 whole=false
               9 t shutdown_end",
        bad: &[
            "0 s call request=q3 open=true deadline_us=9
             2 s shutdown_begin
             3 s shutdown_end",
            "0 s call request=q3 open=true deadline_us=9
             1 s call_started request=q3
             2 s shutdown_begin
             3 s answer request=q3 whole=false
             4 s shutdown_end",
            "0 s call request=q3 open=true deadline_us=9
             1 s call_started request=q3
             2 s shutdown_begin
             3 s refusal request=q3 outcome=unknown code=leaving
             4 s shutdown_end",
            "10 s call request=q3 key=l open=false deadline_us=9
             11 s call_started request=q3
             12 s shutdown_begin
             13 s answer request=q3 whole=false
             14 s shutdown_end",
        ],
    },
    Case {
        property: Property::Configuration,
        good: "0 r process_start role=router
               0 s process_start role=router
               0 v process_start role=router
               1000 o revision_accepted revision=1
               1000 h process_paused target=s
               2000 r revision_in_force revision=1
               2000 v shutdown_begin
               9000 h process_resumed target=s
               9500 s revision_in_force revision=1
               9600 w process_start role=router
               9700 w revision_in_force revision=1
               9800 x process_start role=router
               9900 h process_killed target=x",
        bad: &[
            "10000 r revision_in_force revision=0",
            "10000 o revision_accepted revision=2
             11000 r revision_in_force revision=2
             11000 s revision_in_force revision=2
             16000 w revision_in_force revision=2",
            "10000 y process_start role=router
             16000 r revision_in_force revision=1",
        ],
    },
    Case {
        property: Property::TableRows,
        good: r#"
            1 a table began_us=0 table=t key=k op={"do":"put","expect":"absent","value":"x","outcome":{"done":1}}
            2 b table began_us=0 table=t key=k op={"do":"put","expect":"absent","value":"y","outcome":"refused"}
            3 b table began_us=2000 table=t key=k op={"do":"get","found":{"version":1,"value":"x"}}
            4 a table began_us=3000 table=t key=k op={"do":"put","expect":{"version":1},"value":"z","outcome":"unknown"}
            5 b table began_us=4000 table=t key=k op={"do":"get","found":{"version":1,"value":"x"}}
            6 b table began_us=5000 table=t key=k op={"do":"get","found":{"version":2,"value":"z"}}
            7 b table began_us=6000 table=t key=k op={"do":"put","expect":{"version":2},"value":null,"outcome":{"done":3}}
            8 a table began_us=7000 table=t key=k op={"do":"get","found":null}
            8 c begun scope=s number=1 operation={"event":"table","began_us":7900,"table":"t","key":"l","op":{"do":"put","expect":"absent","value":"x","outcome":"unknown"}}
            9 b table began_us=8500 table=t key=l op={"do":"get","found":{"version":4,"value":"x"}}"#,
        bad: &[
            r#"9 a table began_us=8000 table=t key=k op={"do":"get","found":{"version":2,"value":"z"}}"#,
            r#"9 a table began_us=8000 table=t key=k op={"do":"put","expect":{"version":2},"value":"w","outcome":{"done":4}}"#,
            r#"9 a table began_us=8000 table=t key=k op={"do":"put","expect":"absent","value":"w","outcome":"refused"}"#,
            r#"9 a table began_us=8000 table=t key=k op={"do":"put","expect":"any","value":"w","outcome":{"done":3}}"#,
            r#"9 d begun scope=s number=1 operation={"event":"table","began_us":9000,"table":"t","key":"m","op":{"do":"put","expect":"absent","value":"x","outcome":"unknown"}}
               9 d ended scope=s number=1
               10 b table began_us=9500 table=t key=m op={"do":"get","found":{"version":5,"value":"x"}}"#,
        ],
    },
    Case {
        property: Property::ViewRow,
        good: r#"
            1 a view cell=c began_us=0 op={"do":"change","from":0,"to":1,"outcome":"done"}
            2 b view cell=c began_us=0 op={"do":"change","from":0,"to":1,"outcome":"refused"}
            3 b view cell=c began_us=2000 op={"do":"change","from":1,"to":2,"outcome":"unknown"}
            4 a view cell=c began_us=3000 op={"do":"read","epoch":2}"#,
        bad: &[
            r#"5 a view cell=c began_us=4500 op={"do":"read","epoch":1}"#,
            r#"5 a view cell=c began_us=4500 op={"do":"change","from":1,"to":2,"outcome":"done"}"#,
            r#"5 a view cell=c began_us=4500 op={"do":"change","from":2,"to":4,"outcome":"done"}"#,
        ],
    },
    Case {
        property: Property::ClaimLedger,
        good: r#"
            1 a claim claim=t/k began_us=0 op={"do":"claim","attempt":"a","body":"x","result":"won"}
            2 a claim claim=t/k began_us=1000 op={"do":"release","attempt":"a","result":"done"}
            3 b claim claim=t/k began_us=2000 op={"do":"claim","attempt":"b","body":"x","result":"unknown"}
            4 b claim claim=t/k began_us=3000 op={"do":"claim","attempt":"b","body":"x","result":"won"}
            5 a claim claim=t/k began_us=4000 op={"do":"claim","attempt":"c","body":"x","result":"open"}
            6 a claim claim=t/k began_us=5000 op={"do":"claim","attempt":"d","body":"y","result":"mismatch"}
            7 b claim claim=t/k began_us=6000 op={"do":"settle","attempt":"b","outcome":"ok","result":"done"}
            8 a claim claim=t/k began_us=7000 op={"do":"claim","attempt":"e","body":"x","result":{"kept":"ok"}}"#,
        bad: &[
            r#"9 a claim claim=t/k began_us=8000 op={"do":"claim","attempt":"f","body":"x","result":"won"}"#,
            r#"9 a claim claim=t/k began_us=8000 op={"do":"claim","attempt":"f","body":"x","result":{"kept":"no"}}"#,
            r#"9 a claim claim=t/k began_us=8000 op={"do":"claim","attempt":"f","body":"y","result":{"kept":"ok"}}"#,
            r#"9 b claim claim=t/k began_us=8000 op={"do":"release","attempt":"b","result":"done"}"#,
            r#"9 b claim claim=t/k began_us=8000 op={"do":"settle","attempt":"b","outcome":"no","result":"done"}"#,
        ],
    },
];

#[test]
fn valid_histories_are_accepted() {
    for case in CASES {
        let report = check(&text::history(case.good));
        let violations = report.violations.iter().filter(|v| v.property == case.property);
        assert_eq!(violations.collect::<Vec<_>>(), Vec::<&_>::new());
        let line = report.lines[&case.property];
        assert!(line.facts > 0 && line.undecided == 0, "{:?}", case.property);
    }
}

#[test]
fn bad_histories_are_rejected() {
    let mut found = String::new();
    for case in CASES {
        for tail in case.bad {
            let report = check(&text::history(&format!("{}\n{tail}", case.good)));
            let violations = report.violations.iter().filter(|v| v.property == case.property);
            let texts = violations.map(|violation| violation.text.as_str()).collect::<Vec<_>>();
            assert!(!texts.is_empty(), "{:?} accepts {tail}", case.property);
            found.push_str(&format!("{:?}: {}\n", case.property, texts.join("; ")));
        }
    }
    insta::assert_snapshot!(found);
}
