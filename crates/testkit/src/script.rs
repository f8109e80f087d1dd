//! Scenario files.
//!
//! Each line holds one directive; `#` starts a comment. The setup lines come first:
//!
//! ```text
//! controllers 3                             the number of controllers
//! agents heartbeat=1.5 lease=10 cancel=30   heartbeat interval, lease of an agent, and time within which
//!                                           a cancelled task is stopped, in seconds
//! objective wait CLASS within=60            an objective beside the default one, by which jobs of the
//!                                           class `work` finish within 60 s
//! team NAME cpus=16 cpus_max=32 [gpus=0 gpus_max=0]   a team's guaranteed share and limit
//! store value=4 ops=8 writes=20 rps=100 [next_value=2 next_ops=4 ...]
//!                                           limits of the key-value store (KiB of a value, operations of
//!                                           a transaction, changes and requests a second), and the limits
//!                                           that it announces for later
//! tuning KEY=VALUE ...                      operators' settings
//! previous_version CONTROLLER ...           these controllers run the previous version: they do not know
//!                                           the announced limits, and of a peer message they know only
//!                                           what the version in production knows
//! check waits [for=90]                      after all faults are over, no job waits so long for a task
//!                                           while a machine that fits has room and its team may use it
//! snapshot NAME age=30                      data/NAME.txt: what the previous version left in the middle
//!                                           of its work, 30 s after its start
//! type NAME cpus=8 mem=32 price=1 spot=0.3 boot=10 cap=4 spotcap=2 zones=a,b [gpus=0]
//!                                           a machine type; cap, spotcap: how many on-demand and spot
//!                                           machines the cloud has
//! machines TYPE zone=a count=2 [spot=yes]   machines that are up at the start: n-000000, n-000001, ...
//! ```
//!
//! The words in capitals stand for values: CONTROLLER for the number of a controller from 0, MACHINE for the name
//! of a machine, JOB for the id of a job, TEAM for the name of a team, and KEY for a key of the key-value store. A
//! direct command is one that a controller sends to an agent itself, instead of in the response to a heartbeat.
//!
//! The other lines say what happens and what is checked, each at a time in seconds:
//!
//! ```text
//! at 5  submit JOB tasks=4 cpus=2 [team= priority= run= due= saves=yes flush= fails=yes zone= type=
//!       spot=no one_zone=yes spread=yes shape= class= gpus= mem= expected=]
//! every 6 from 1 to 90 submit JOB ...       such a job every 6 s: JOB000, JOB001, ...
//!                                           controller=N|leader|other: the request goes there the first
//!                                           time, and to any controller when it is retried
//! at 5  has_started JOB                     a task of the job has started
//! at 5  cancel JOB [controller=N|leader|other]
//! at 5  expect JOB STATUS                   a poll at every controller that is up returns this status;
//!                                           live: pending or running
//! at 5  starts JOB N                        tasks of the job have started N times so far
//! at 5  leaders N                           so many controllers lead
//! at 5  move 1                              partition 1, 2, ... is assigned to the next controller that is
//!                                           up (every 2 from 5 to 50 move p: one after the other)
//! at 5  moves 100                           at least so many partitions were moved so far
//! at 5  downgrade CONTROLLER [for=4]        the controller crashes and restarts with the previous version
//! at 5  partitions N held|moving|unclaimed  so many partitions are on record, all in this phase
//! at 5  settings CONTROLLER|all TEAM [cpus=4] [cpus_max=8] [removed=yes]
//!                                           from its next start on a controller has these settings
//! at 5  team_limit TEAM 8                   the team's limit on record, in CPUs
//! at 5  uses TEAM [least=4] [most=8]        what the team's tasks use on machines, in CPUs
//! at 5  started JOB [least=4] [most=8]      how often tasks of the job have started so far
//! at 5  machines N                          so many machines are provisioned
//! at 5  request METHOD PATH STATUS [BODY]   a raw request to every controller; BODY: hexadecimal digits
//! at 5  crash CONTROLLER|leader|all [for=4]
//! at 5  upgrade CONTROLLER [for=4]          the controller crashes and restarts with the new version
//! at 5  limits value=2 ops=4 writes=15      the limits of the key-value store change
//! at 5  busy for=10                         the key-value store answers every change with 429
//! at 5  no_wait 60                          no job has waited so long for a task while a machine has room
//!                                           (needs `check waits`)
//! at 5  late_starts most=0                  at most so many tasks started after the cancellation of their
//!                                           job was confirmed; later than the `cancel` time of the agents
//!                                           line, such a start breaks the rule ran_cancelled
//! at 5  largest_value most=2                no value in the key-value store is larger (KiB)
//! at 5  malformed most=0                    at most so many transactions were malformed so far
//! at 5  half_served                         at least half of each class, of each team and of each class's
//!                                           largest jobs is served, and the largest started within 240 s
//! at 5  serving JOB N [zone=a]              so many tasks of the job run
//! at 5  record KEY yes|no                   whether the key-value store has this key
//! at 5  cut CONTROLLER|leader store|cloud|agents|peers|all for=10 [hold=yes]
//!                                           messages over these links are lost; hold: they arrive when
//!                                           the cut is over
//! at 5  pause CONTROLLER|leader for=30      the process is paused while its clocks run on
//! at 5  refuse CONTROLLER|leader for=10     the key-value store answers the controller with 503
//! at 5  store down for=10
//! at 5  cloud down for=10
//! at 5  fault_on page-write                 the leader crashes when its next page is written
//! at 5  fault_on confirm [for=0.3]          the next controller that confirms a cancellation to a user
//!                                           crashes right after it has sent this response
//! at 5  fault_on grant for=40               the key-value store goes down right after the next leader
//!                                           lease is acquired
//! at 5  forge JOB for=5                     peers' answers list this job as cancelled, which it is not
//! at 5  late txn for=10 [controller=N|leader] [at_once=yes] [closed=yes]
//!                                           the next transaction of that controller, or of the leader,
//!                                           gets no answer and is carried out 10 s later, after newer
//!                                           ones; at_once: it is carried out at once and only its answer
//!                                           is lost; closed: the connection is closed at once, otherwise
//!                                           the call times out. A further such line is for the
//!                                           transaction after that
//! at 5  late lease_end controller=N for=10 [at_once=yes] [closed=yes]
//!                                           the same for the next call by which the controller ends a
//!                                           lease
//! at 5  drop_renewals CONTROLLER|leader for=10   the controller's renewals of leases are lost, and all its
//!                                           other calls are answered
//! at 5  late txns for=20 every=3 late=8 [at_once=yes]   the same for every third transaction
//! at 5  unanswered done=3 failed=2          at least so many transactions without an answer were carried
//!                                           out, and failed on their conditions
//! at 5  refused_polls most=0                at most so many polls were answered with 429 or 503
//! at 5  ends [within=6] [done=3 cancelled=3]   each end is on record 6 s after the last task completed or
//!                                           the cancellation was confirmed; of the jobs that were
//!                                           cancelled as they ended, at least so many are done, and
//!                                           cancelled;
//!                                           of=JOB confirmed=3: of the jobs whose names begin so, so many
//!                                           cancellations are confirmed
//! at 5  slow store for=20 by=0.8            answers of the key-value store take that much longer; requests
//!                                           are carried out without a delay
//! at 5  slow agents for=20 by=0.5           messages between controllers and agents take that much
//!                                           longer, each way
//! at 5  late heartbeat MACHINE for=10       a copy of the machine's next heartbeat arrives late
//! at 5  overtake heartbeat MACHINE for=1.5  the machine's next heartbeat takes so long, and the answer to
//!                                           a direct command must overtake it
//! at 5  slow launch MACHINE for=1.5         the next response to the machine that carries a launch takes
//!                                           so long
//! at 5  lose answer MACHINE                 the response to the machine's next heartbeat is lost
//! at 5  disconnect MACHINE|all for=30       no message reaches the machine or leaves it; its tasks run on
//! at 5  drop_inbound MACHINE|all for=30     the machine's heartbeats arrive, and no response or command
//!                                           reaches it
//! at 5  drop_heartbeats MACHINE|all for=30  the machine reaches no controller; direct commands reach it
//! at 5  hang of=JOB for=5                   all machines that hold a task of the job now; likewise for
//!                                           disconnect, drop_inbound, drop_heartbeats and lose direct
//! at 5  lose direct MACHINE|all for=10 [late=6]   direct commands to the machine are carried out late, and
//!                                           the sender gets no answer
//! at 5  heartbeat_copies MACHINE|all for=10 late=20 [next=yes] [to=all]
//!                                           copies of the machine's heartbeats reach the leader late; next:
//!                                           the newest copy is kept and reaches the next leader as soon as
//!                                           it leads; to=all: copies reach every controller that is up
//! at 5  command_copies for=20 late=0.5      start commands that were carried out arrive once more, so much later:
//!                                           orders to partition holders, and responses to heartbeats, which
//!                                           agents drop; also all direct commands, none of which may start a
//!                                           task. Further such lines add further copies
//! at 5  command_copies_arrived [orders=9] [responses=9] [direct=9]   at least so many copies arrived
//! at 5  copies_at_newer_leader N            at least so many copies reached a leader of a newer token
//! at 5  restart MACHINE                     the machine's agent is back at once, in a new incarnation
//! at 5  provisioned MACHINE yes|no
//! at 5  cancel_now N [hang=30]              users cancel up to N jobs that run for at least 20 s more,
//!                                           within 0.2 s; up to eight of their machines hang that long
//! at 5  cancel_at_end for=20 [after=0.1]    every job whose last task completes is cancelled, polled and
//!                                           submitted again at every controller, at once or so much later
//! at 5  polls for=20                        after a job was first accepted, reported as done or cancelled,
//!                                           users poll it at every controller after 1, 5, 20 and 60 ms,
//!                                           and submit it again there
//! at 5  hang MACHINE|all for=5              neither the machine's agent nor its tasks make progress
//! at 5  faulty MACHINE                      tasks fail on the machine from now on
//! at 5  kill MACHINE                        the machine is lost
//! at 5  reclaim MACHINE in=10               the cloud gives notice and takes the machine 10 s later
//! at 5  boots never | boots 10              how long machines boot that are provisioned from now on
//! at 5  corrupt KEY                         the record becomes unreadable
//! end 60
//! ```
//!
//! Throughout a scenario users poll every job that is not over every 5 s, and with them a job that is over
//! and one that nobody submitted. After all faults are over, a job about which no poll is answered for 75 s counts as
//! forgotten.

use crate::error::{ScenarioError, ScriptError};
use crate::time::{from_seconds, Micros, SECOND};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A line of a scenario: a setup line, an event or a check.
#[derive(Clone, Debug, Default)]
pub struct Directive {
    /// The line's number in the file, from 1.
    pub line_number: usize,
    /// The words of the line, without the time.
    pub words: Vec<String>,
    /// The options, written `key=value`.
    pub options: BTreeMap<String, String>,
}

impl Directive {
    /// Splits a line into words and options, without its comment.
    fn parse_line(line_number: usize, text: &str) -> Directive {
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

    /// Returns the word at this index, from 0.
    pub fn word(&self, index: usize) -> Result<&str, ScriptError> {
        let word = self.words.get(index).map(String::as_str);
        word.ok_or(ScriptError::MissingWord)
    }

    /// Parses the word at this index, from 0, as a number.
    pub fn number_at<T: FromStr>(&self, index: usize) -> Result<T, ScriptError> {
        let word = self.word(index)?;
        let number = word.parse();
        number.map_err(|_| ScriptError::NotANumber(word.to_string()))
    }

    /// Parses the word at this index, from 0, as a time in seconds.
    pub fn time_at(&self, index: usize) -> Result<Micros, ScriptError> {
        let word = self.word(index)?;
        let seconds = word.parse();
        let seconds = seconds.map_err(|_| ScriptError::NotATime(word.to_string()))?;
        Ok(from_seconds(seconds))
    }

    /// Returns the value of an option that is a number, or the default if the option is missing.
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

    /// Returns the value of an option as a whole number, or the default if the option is missing.
    pub fn count(&self, key: &str, default: u64) -> Result<u64, ScriptError> {
        Ok(self.number(key, default as f64)? as u64)
    }

    /// Returns the duration that an option gives in seconds. The default is in seconds, too.
    pub fn duration(&self, key: &str, default_s: f64) -> Result<Micros, ScriptError> {
        Ok(from_seconds(self.number(key, default_s)?))
    }

    /// Returns the value of an option, or the default if the option is missing.
    pub fn text(&self, key: &str, default: &str) -> String {
        let text = self.options.get(key).cloned();
        text.unwrap_or_else(|| default.to_string())
    }

    /// Returns whether an option is `yes`, or the default if the option is missing.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        self.options
            .get(key)
            .map_or(default, |value| value == "yes")
    }
}

/// A parsed scenario.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// The setup lines.
    pub setup: Vec<Directive>,
    /// The events and checks, each with its simulated time.
    pub events: Vec<(Micros, Directive)>,
    /// The simulated time at which the scenario ends.
    pub end: Micros,
}

/// The directives that inject faults, and how long each fault lasts by default.
const FAULT_DURATIONS: [(&str, Micros); 19] = [
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
    ("heartbeat_copies", 10 * SECOND),
    ("command_copies", 20 * SECOND),
    ("hang", 5 * SECOND),
    ("drop_heartbeats", 30 * SECOND),
    ("drop_renewals", 10 * SECOND),
    ("slow", 20 * SECOND),
    ("lose", 10 * SECOND),
    ("cancel_now", 0),
];

/// The default delay after which a lost direct command is carried out, in seconds.
const LOST_COMMAND_DELAY_S: f64 = 6.0;

impl Script {
    /// Returns the simulated time at which the last fault is over.
    pub fn faults_end(&self) -> Micros {
        let ends = self.events.iter();
        let ends = ends.filter_map(|(at, directive)| Some(at + fault_duration(directive)?));
        ends.max().unwrap_or(0)
    }
}

/// Returns how long the fault of a directive lasts, or `None` if the directive injects no fault that lasts.
fn fault_duration(directive: &Directive) -> Option<Micros> {
    let verb = directive.words.first()?;
    if directive.words.get(1).is_some_and(|word| word == "answer") {
        return None; // `lose answer` affects a single response.
    }
    let (_, default_duration) = FAULT_DURATIONS.iter().find(|(known, _)| known == verb)?;
    let default_s = *default_duration as f64 / 1e6;
    let default_delay_s = if verb == "lose" {
        LOST_COMMAND_DELAY_S
    } else {
        0.0
    };
    let duration = directive.duration("for", default_s).ok()?;
    let delay = directive.duration("late", default_delay_s).ok()?;
    Some(duration + delay + directive.duration("hang", 0.0).ok()?)
}

/// Parses the text of a scenario.
pub fn parse(text: &str) -> Result<Script, ScenarioError> {
    let mut script = Script::default();
    for (index, line) in text.lines().enumerate() {
        let directive = Directive::parse_line(index + 1, line);
        let line_number = directive.line_number;
        let added = add_directive(&mut script, directive);
        added.map_err(|error| ScenarioError::from(error).at_line(line_number))?;
    }
    if script.end == 0 {
        return Err(ScriptError::NoEnd.into());
    }
    Ok(script)
}

/// Adds a directive to a script.
fn add_directive(script: &mut Script, mut directive: Directive) -> Result<(), ScriptError> {
    match directive.words.first().map(String::as_str) {
        None => {}
        Some("at") => {
            let at = directive.time_at(1)?;
            directive.words.drain(..2);
            script.events.push((at, directive));
        }
        Some("every") => add_repeated(script, directive)?,
        Some("end") => script.end = directive.time_at(1)?,
        Some(_) => script.setup.push(directive),
    }
    Ok(())
}

/// Adds an event for each repetition of a line such as `every 6 from 1 to 90 submit JOB ...`.
fn add_repeated(script: &mut Script, mut directive: Directive) -> Result<(), ScriptError> {
    let interval = directive.time_at(1)?.max(1);
    let (from, to) = (directive.time_at(3)?, directive.time_at(5)?);
    directive.words.drain(..6);
    let name = directive.word(1)?.to_string();
    let repetitions = (from..to).step_by(interval as usize);
    for (index, at) in repetitions.enumerate() {
        let mut repetition = directive.clone();
        repetition.words[1] = format!("{name}{index:03}");
        script.events.push((at, repetition));
    }
    Ok(())
}
