//! Scenario files.
//!
//! One thing a line, `#` starts a comment. First what there is:
//!
//! ```text
//! controllers 3                                   controllers
//! agents heartbeat=1.5 lease=10 cancel=30
//! objective wait CLASS within=60                 beside: the class work finishes within 60 s
//! team NAME cpus=16 max=32 [gpus=0 gmax=0]
//! store value=4 ops=8 writes=20 rps=100 [next_value=2 next_ops=4 ...]   what the state service takes
//!                                           (KiB, changes, a second), and what it announces for later
//! tuning KEY=VALUE ...                      operators' settings
//! previous_version NODE ...                              these do not know what is announced, nor more of a peer
//!                                           message than the version in production: the one before
//! check waits [for=90]                      once all troubles are over, no job waits so long for a task
//!                                           while a machine that fits has room and its team may run it
//! snapshot NAME age=30                         data/NAME.txt: what the version before left in the middle
//!                                           of its work, 30 s after its start
//! type NAME cpus=8 mem=32 price=1 spot=0.3 boot=10 cap=4 spotcap=2 zones=a,b [gpus=0]
//! machines TYPE zone=a count=2 [spot=yes]   up at the start: n-000000, n-000001, ...
//! ```
//!
//! then what happens, each with its time in seconds:
//!
//! ```text
//! at 5  submit JOB tasks=4 cpus=2 [owner= priority= run= due= saves=yes flush= fails=yes zone= type=
//!       spot=no one_zone=yes spread=yes shape= class= gpus=]
//! every 6 from 1 to 90 submit JOB ...       such a job every 6 s: JOB001, JOB002, ...
//!                                           controller=N|leader|other: there the first time, later anywhere
//! at 5  begun JOB                           a task of it came onto a machine
//! at 5  cancel JOB [node=N|leader|other]
//! at 5  expect JOB STATUS                   a poll at every node that is up gives this status;
//!                                           live: pending or running
//! at 5  starts JOB N                        its tasks came onto machines N times so far
//! at 5  leaders N                           so many nodes lead
//! at 5  move 1                              partition 1, 2, ... is assigned to the next member that is up
//!                                           (every 2 from 5 to 50 move p: one after the other)
//! at 5  moves 100                           so many at least were moved so far
//! at 5  downgrade NODE [for=4]              it ends and comes back with the version before
//! at 5  partitions N held|moving|unclaimed  so many partitions are on record, all of them so
//! at 5  settings NODE|all TEAM [cpus=4] [max=8] [gone=yes]   from its next start on its settings say this
//! at 5  team_limit TEAM 8                     the team's ceiling on record, in CPUs
//! at 5  uses TEAM [least=4] [most=8]        what its tasks use on machines, in CPUs
//! at 5  started JOB [least=4] [most=8]       its tasks came onto machines so often so far
//! at 5  machines N                          so many machines are rented
//! at 5  request METHOD PATH STATUS [BODY]   a raw request at every node; BODY: hex digits
//! at 5  crash NODE|leader|all [for=4]
//! at 5  upgrade NODE [for=4]                it ends and comes back with the new version
//! at 5  limits value=2 ops=4 writes=15      the state service's limits change
//! at 5  busy for=10                         every change of state is answered 429
//! at 5  no_wait 60                          no job has waited so long that way (needs `check waits`)
//! at 5  late_starts most=0                  at most so many tasks started whose job was confirmed as
//!                                           cancelled before; later than `cancel` it is ran_cancelled
//! at 5  largest_value most=2                      no value is larger than that (KiB)
//! at 5  malformed most=0                      at most so many transactions were malformed so far
//! at 5  half_served                              at least half of each class, of each team and of each class's
//!                                           largest_value jobs is served, and the largest began within 240 s
//! at 5  serving JOB N [zone=a]              so many of its tasks run
//! at 5  cut NODE|leader state|workers|peers|all for=10 [hold=yes]
//! at 5  pause NODE|leader for=30           it stands still while its clocks run on
//! at 5  refuse NODE|leader for=10           the state service answers it 503
//! at 5  store down for=10
//! at 5  cloud down for=10
//! at 5  fault_on page-write                     the leader crashes when its next page is written
//! at 5  fault_on confirm [for=0.3]              the next node that confirms a cancellation to a user
//!                                           crashes right after that answer has gone out
//! at 5  fault_on grant for=40                    the state service goes down right after the next grant
//! at 5  forge JOB for=5                     peers' answers list this job as cancelled, which it is not
//! at 5  late txn for=10 [node=N|leader] [at_once=yes]   the next transaction of that node, or of whoever
//!                                           leads, gets no answer and is carried out 10 s later, after
//!                                           newer ones; at_once: at once, only its answer is lost
//! at 5  late txns for=20 every=3 late=8 [at_once=yes]   every third one of any node meets this
//! at 5  unanswered done=3 failed=2               so many transactions without an answer at least were carried
//!                                           out, and failed on their conditions
//! at 5  refused_polls most=0                      at most so many questions were refused for now
//! at 5  ends [within=6] [done=3 cancelled=3]   each end is on record 6 s after the last task completed or
//!                                           the cancellation was confirmed; so many jobs at least that
//!                                           were cancelled as they ended are done, and cancelled;
//!                                           of=JOB confirmed=3: of so many the cancellation is confirmed
//! at 5  slow store for=20 by=0.8            its answers take that much longer; what is asked is carried
//!                                           out as ever
//! at 5  slow agents for=20 by=0.5          messages between controllers and workers take that much
//!                                           longer, each way
//! at 5  late heartbeat MACHINE for=10          a copy of its next report arrives late
//! at 5  overtake heartbeat MACHINE for=1.5     its next report is so long on its way, and the answer to a
//!                                           direct command must overtake it
//! at 5  slow launch MACHINE for=1.5        the next answer to it that carries a launch takes so long
//! at 5  lose answer MACHINE                 the answer to its next report is lost
//! at 5  disconnect MACHINE|all for=30           nothing reaches it or comes from it; its tasks go on
//! at 5  drop_inbound MACHINE|all for=30             its reports arrive, no answer or command reaches it
//! at 5  drop_heartbeats MACHINE|all for=30             it reaches no controller; direct commands reach it
//! at 5  hang of=JOB for=5                   all machines that hold a task of it now; so for unplug,
//!                                           deaf, mute and lose direct
//! at 5  lose direct MACHINE|all for=10 [late=6]   commands sent straight to it are carried out late, and
//!                                           the sender gets no answer
//! at 5  copies MACHINE|all for=10 late=20 [next=yes] [to=all]   copies of its reports reach the leader
//!                                           late; next: the newest one is kept, and reaches the next
//!                                           leader as soon as it has its grant; to=all: they reach every
//!                                           controller that is up
//! at 5  copied N                            so many copies at least met a leader of a newer token
//! at 5  restart MACHINE                     its worker is back at once, in a new session
//! at 5  provisioned MACHINE yes|no
//! at 5  cancel_now N [hang=30]              users cancel up to N jobs that run and have 20 s to go, within
//!                                           0.2 s; up to eight of their machines hang that long
//! at 5  cancel_at_end for=20 [after=0.1]    every job whose last task completes is cancelled, asked about
//!                                           and submitted again at every node, then or so much later
//! at 5  polls for=20                        right after a job was first accepted, called done or cancelled,
//!                                           users ask at every node within 1, 5, 20 and 60 ms, and submit
//!                                           it again there
//! at 5  hang MACHINE|all for=5 | faulty MACHINE | kill MACHINE | recall MACHINE in=10
//! at 5  boots never | boots 10              of machines rented from now on
//! at 5  corrupt KEY                         the record becomes unreadable
//! end 60
//! ```
//!
//! All the while users ask about every job every 5 s, and now and then about one that is over or that
//! nobody submitted. Once all troubles are over, one about which no
//! question is answered for 75 s is forgotten.

use crate::error::{ScenarioError, ScriptError};
use crate::time::{from_seconds, Micros, SECOND};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A line of a scenario: what is to be set up, to happen or to be checked.
#[derive(Clone, Debug, Default)]
pub struct Directive {
    /// The line's number in the file, from 1.
    pub line_number: usize,
    /// The words, without the time of the directive.
    pub words: Vec<String>,
    /// The options, written `key=value`.
    pub options: BTreeMap<String, String>,
}

impl Directive {
    /// Splits a line into words and options; a comment is left out.
    fn read(line_number: usize, text: &str) -> Directive {
        let mut directive = Directive {
            line_number,
            ..Directive::default()
        };
        let text = text.split('#').next().unwrap_or_default();
        for word in text.split_whitespace() {
            match word.split_once('=') {
                Some((key, value)) => {
                    directive.options.insert(key.to_string(), value.to_string());
                }
                None => directive.words.push(word.to_string()),
            }
        }
        directive
    }

    /// The word at this place, from 0.
    pub fn word(&self, at: usize) -> Result<&str, ScriptError> {
        let word = self.words.get(at).map(String::as_str);
        word.ok_or(ScriptError::MissingWord)
    }

    /// The number at this place, from 0.
    pub fn number_at<T: FromStr>(&self, at: usize) -> Result<T, ScriptError> {
        let word = self.word(at)?;
        let number = word.parse();
        number.map_err(|_| ScriptError::NotANumber(word.to_string()))
    }

    /// The time in seconds at this place, from 0.
    pub fn time_at(&self, at: usize) -> Result<Micros, ScriptError> {
        let word = self.word(at)?;
        let seconds = word.parse();
        let seconds = seconds.map_err(|_| ScriptError::NotATime(word.to_string()))?;
        Ok(from_seconds(seconds))
    }

    /// A number among the options.
    pub fn number(&self, key: &str, default: f64) -> Result<f64, ScriptError> {
        let Some(text) = self.options.get(key) else {
            return Ok(default);
        };
        let number = text.parse();
        number.map_err(|_| ScriptError::OptionIsNoNumber {
            key: key.to_string(),
            text: text.clone(),
        })
    }

    /// A whole number among the options.
    pub fn count(&self, key: &str, default: u64) -> Result<u64, ScriptError> {
        Ok(self.number(key, default as f64)? as u64)
    }

    /// A span of time among the options, which is given in seconds; so is the default.
    pub fn duration(&self, key: &str, default_s: f64) -> Result<Micros, ScriptError> {
        Ok(from_seconds(self.number(key, default_s)?))
    }

    /// A text among the options.
    pub fn text(&self, key: &str, default: &str) -> String {
        let text = self.options.get(key).cloned();
        text.unwrap_or_else(|| default.to_string())
    }

    /// A flag among the options, which is set by `yes`.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        self.options
            .get(key)
            .map_or(default, |value| value == "yes")
    }
}

/// A scenario as it is written.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What there is at the start.
    pub setup: Vec<Directive>,
    /// What happens, and at which simulated time.
    pub events: Vec<(Micros, Directive)>,
    /// The simulated time at which the scenario ends.
    pub end: Micros,
}

/// Directives that disturb the cluster, and for how long if they do not say.
const FAULT_DURATIONS: [(&str, Micros); 17] = [
    ("crash", 4 * SECOND),
    ("upgrade", 4 * SECOND),
    ("cut", 10 * SECOND),
    ("pause", 30 * SECOND),
    ("refuse", 10 * SECOND),
    ("store", 10 * SECOND),
    ("cloud", 10 * SECOND),
    ("busy", 10 * SECOND),
    ("late", 10 * SECOND),
    ("drop_inbound", 30 * SECOND),
    ("disconnect", 30 * SECOND),
    ("copies", 10 * SECOND),
    ("hang", 5 * SECOND),
    ("drop_heartbeats", 30 * SECOND),
    ("slow", 20 * SECOND),
    ("lose", 10 * SECOND),
    ("cancel_now", 0),
];

/// How late a lost direct command is carried out if the directive does not say, in seconds.
const LOST_COMMAND_DELAY_S: f64 = 6.0;

impl Script {
    /// When the last fault is over.
    pub fn faults_end(&self) -> Micros {
        let ends = self.events.iter();
        let ends = ends.filter_map(|(at, directive)| Some(at + fault_duration(directive)?));
        ends.max().unwrap_or(0)
    }
}

/// For how long a directive disturbs the cluster; `None` if it does not.
fn fault_duration(directive: &Directive) -> Option<Micros> {
    let verb = directive.words.first()?;
    if directive.words.get(1).is_some_and(|word| word == "answer") {
        return None; // A lost answer is over at once.
    }
    let (_, default) = FAULT_DURATIONS.iter().find(|(known, _)| known == verb)?;
    let default_s = *default as f64 / 1e6;
    let late_s = if verb == "lose" {
        LOST_COMMAND_DELAY_S
    } else {
        0.0
    };
    let duration = directive.duration("for", default_s).ok()?;
    let late = directive.duration("late", late_s).ok()?;
    Some(duration + late + directive.duration("hang", 0.0).ok()?)
}

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Script, ScenarioError> {
    let mut script = Script::default();
    for (index, line) in text.lines().enumerate() {
        let directive = Directive::read(index + 1, line);
        let line_number = directive.line_number;
        let added = add(&mut script, directive);
        added.map_err(|error| ScenarioError::from(error).at_line(line_number))?;
    }
    if script.end == 0 {
        return Err(ScriptError::NoEnd.into());
    }
    Ok(script)
}

/// Adds a line to a script.
fn add(script: &mut Script, mut directive: Directive) -> Result<(), ScriptError> {
    match directive.words.first().map(String::as_str) {
        None => {}
        Some("at") => {
            let at = directive.time_at(1)?;
            directive.words.drain(..2);
            script.events.push((at, directive));
        }
        Some("every") => repeat(script, directive)?,
        Some("end") => script.end = directive.time_at(1)?,
        Some(_) => script.setup.push(directive),
    }
    Ok(())
}

/// Adds what happens again and again: `every 6 from 1 to 90 submit JOB ...`.
fn repeat(script: &mut Script, mut directive: Directive) -> Result<(), ScriptError> {
    let interval = directive.time_at(1)?.max(1);
    let (from, to) = (directive.time_at(3)?, directive.time_at(5)?);
    directive.words.drain(..6);
    let name = directive.word(1)?.to_string();
    let times = (from..to).step_by(interval as usize);
    for (index, at) in times.enumerate() {
        let mut single = directive.clone();
        single.words[1] = format!("{name}{index:03}");
        script.events.push((at, single));
    }
    Ok(())
}
