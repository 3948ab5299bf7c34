//! Streamed answers of the engine.

use std::io;
use std::thread;

use serde_json::{Value, json};

use super::text::Ask;
use super::{End, Inner, PAUSE, Served};
use crate::fakes::server::{EventStream, Exchange};
use crate::platform::engine_http::REQUEST_HEADER;

/// Characters of a prompt that the prefix cache compares.
const PREFIX: usize = 64;

/// One request in progress.
struct Job {
    ask: Ask,
    chat: bool,
    request: String,
    instance: String,
}

impl Job {
    fn chunk(&self, choices: &Value, usage: &Value) -> String {
        let object = match self.chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        json!({
            "id": self.request,
            "object": object,
            "created": 0,
            "model": self.ask.model,
            "system_fingerprint": self.instance,
            "choices": choices,
            "usage": usage,
        })
        .to_string()
    }

    fn token(&self, text: &str, reason: Option<&str>) -> String {
        let choice = match self.chat {
            true => {
                json!([{"index": 0, "delta": {"content": text}, "finish_reason": reason}])
            }
            false => json!([{"index": 0, "text": text, "finish_reason": reason}]),
        };
        self.chunk(&choice, &Value::Null)
    }
}

impl Inner {
    pub(super) fn work(&self, exchange: Exchange, chat: bool) {
        let ask = match exchange.json::<Ask>() {
            Ok(ask) => ask,
            Err(text) => return exchange.answer(400, &text),
        };
        let state = self.lock();
        let instance = state.now.instance.to_string();
        let ready = state.ready(&ask.model);
        drop(state);
        if !ready {
            let error = json!({"error": {"code": "model_not_found", "message": ask.model}});
            return exchange.answer(404, &error);
        }
        let job = Job {
            request: exchange.header(REQUEST_HEADER).to_owned(),
            ask,
            chat,
            instance,
        };
        let Ok(mut stream) = exchange.stream() else {
            return;
        };
        let ticket = self.lock().enqueue(&job.ask);
        let mut tokens = 0;
        let outcome = self.run(&job, ticket, &mut stream, &mut tokens);
        let outcome = outcome.and_then(|()| stream.finish());
        self.settle(&job, ticket, &stream, tokens, outcome.is_ok());
    }

    fn run(
        &self,
        job: &Job,
        ticket: (i64, u64),
        stream: &mut EventStream,
        tokens: &mut usize,
    ) -> io::Result<()> {
        self.wait_slot(job, ticket, stream)?;
        let text = job.ask.text();
        if !self.settings.crash.is_empty() && text.contains(&self.settings.crash) {
            self.crash();
        }
        let hit = self.lock().hit(text.chars().take(PREFIX).collect());
        if !hit {
            thread::sleep(self.settings.prefill);
        }
        let (answer, reason) = job.ask.answer(self.settings.tokens);
        for token in answer.iter().skip(job.ask.resume_from) {
            thread::sleep(self.settings.interval);
            self.thaw(&|| stream.alive());
            stream.event(&job.token(token, None))?;
            *tokens += 1;
        }
        stream.event(&job.token("", Some(reason)))?;
        if job.ask.usage() {
            let prompt = text.split_whitespace().count();
            let usage = json!({
                "prompt_tokens": prompt,
                "completion_tokens": answer.len(),
                "total_tokens": prompt + answer.len(),
            });
            stream.event(&job.chunk(&json!([]), &usage))?;
        }
        Ok(())
    }

    /// Waits for a slot; the queue is ordered by priority, then arrival.
    fn wait_slot(&self, job: &Job, ticket: (i64, u64), stream: &mut EventStream) -> io::Result<()> {
        loop {
            let mut state = self.lock();
            if state.slot(ticket, self.settings.slots, &job.ask.model) {
                return Ok(());
            }
            let waited = self.wake.wait_timeout(state, PAUSE);
            state = waited.expect("no holder of the lock panics").0;
            drop(state);
            stream.comment()?;
        }
    }

    fn settle(
        &self,
        job: &Job,
        ticket: (i64, u64),
        stream: &EventStream,
        tokens: usize,
        whole: bool,
    ) {
        let mut state = self.lock();
        let alive = stream.alive();
        if alive {
            state.leave(ticket, &job.ask.model);
        }
        state.journal.served.push(Served {
            request: job.request.clone(),
            model: job.ask.model.clone(),
            tokens,
            end: match (whole, alive) {
                (true, _) => End::Finished,
                (false, true) => End::Cancelled,
                (false, false) => End::Crashed,
            },
        });
        drop(state);
        self.wake.notify_all();
    }
}
