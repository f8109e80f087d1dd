//! The directives of a script that are due: events and checks.

use super::events::Requester;
use super::World;
use crate::error::{ScriptError, StepResult};
use crate::script::Directive;
use crate::unhex;

mod controllers;
mod expectations;
mod machines;

impl World {
    /// Carries out a directive.
    pub(super) fn run_directive(&mut self, directive: &Directive) -> StepResult {
        let known = self.run_fault_directive(directive)?
            || self.run_check_directive(directive)?
            || self.run_limits_directive(directive)?
            || self.run_user_directive(directive)?
            || self.run_expectation(directive)?
            || self.run_controller_directive(directive)?
            || self.run_machine_directive(directive)?;
        match known {
            true => Ok(()),
            false => Err(ScriptError::Unknown(directive.word(0)?.to_string()).into()),
        }
    }

    /// Carries out a directive about users. Returns whether the directive is one.
    fn run_user_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "submit" => {
                let job = directive.word(1)?;
                if !self.jobs.contains_key(job) {
                    self.add_job(job, directive)?;
                }
                let controller = self.requested_controller(directive)?;
                self.submit(job, controller);
            }
            "cancel" => {
                let controller = self.requested_controller(directive)?;
                self.cancel(directive.word(1)?, controller);
            }
            "expect" => self.expect_status(directive)?,
            "request" => self.send_raw_request(directive)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Polls a job at every controller that is up; each response must have the expected status.
    fn expect_status(&mut self, directive: &Directive) -> StepResult {
        let (job, status) = (directive.word(1)?, directive.word(2)?);
        for controller in self.up_controllers() {
            self.expectations.requested += 1;
            let requester =
                Requester::Expect(job.into(), status.into(), directive.line_number, self.now);
            self.poll(controller, job, requester);
        }
        Ok(())
    }

    /// Sends a raw request to every controller that is up; each response must have the expected status code.
    fn send_raw_request(&mut self, directive: &Directive) -> StepResult {
        let (method, path) = (directive.word(1)?, directive.word(2)?);
        let wanted = directive.number_at(3)?;
        let body = match directive.words.get(4) {
            None => Vec::new(),
            Some(hex) => unhex(hex)?,
        };
        for controller in self.up_controllers() {
            self.expectations.requested += 1;
            let requester = Requester::Raw {
                wanted,
                line: directive.line_number,
                method: method.into(),
                path: path.into(),
                body: body.clone(),
                sent: self.now,
            };
            self.send_request(controller, method, path.into(), body.clone(), requester);
        }
        Ok(())
    }
}
