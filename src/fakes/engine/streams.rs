//! Streamed answers of the engine.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use super::journal::{End, Served};
use super::state::Ticket;
use super::text::{Ask, tokens};
use super::{Inner, PAUSE};
use crate::fakes::server::Exchange;
use crate::http::stream::EventStream;
use crate::outside::engine_http::REQUEST_ID_HEADER;

/// Characters of a prompt that the prefix cache compares.
const PREFIX: usize = 64;

/// One request in progress.
struct Job {
    ask: Ask,
    chat: bool,
    instance: String,
    ticket: Ticket,
    stream: EventStream,
    alive: Arc<AtomicBool>,
    served: Served,
}

impl Job {
    fn chunk(&mut self, choices: &Value, usage: &Value) -> io::Result<()> {
        let object = match self.chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        let data = json!({
            "id": self.served.request, "object": object, "created": 0,
            "model": self.ask.model, "system_fingerprint": self.instance,
            "choices": choices, "usage": usage,
        });
        if !self.alive() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.stream.send(&data.to_string())
    }

    fn alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn token(&mut self, text: &str, reason: Option<&str>) -> io::Result<()> {
        let choices = match self.chat {
            true => json!([{"index": 0, "delta": {"content": text}, "finish_reason": reason}]),
            false => json!([{"index": 0, "text": text, "finish_reason": reason}]),
        };
        self.chunk(&choices, &Value::Null)
    }
}

impl Inner {
    pub(super) fn work(&self, exchange: Exchange, chat: bool) {
        let ask = match exchange.json::<Ask>() {
            Ok(ask) => ask,
            Err(text) => return exchange.answer(400, &text),
        };
        let mut state = self.state.lock();
        if !exchange.alive() {
            return exchange.hang_up();
        }
        if !state.ready(&ask.model) {
            drop(state);
            let error = json!({"error": {"code": "model_not_found", "message": ask.model}});
            return exchange.answer(404, &error);
        }
        let ticket = state.enqueue(ask.priority);
        let instance = state.now.instance.to_string();
        drop(state);
        let served = Served {
            request: exchange.header(REQUEST_ID_HEADER),
            model: ask.model.clone(),
            from: Instant::now(),
            until: Instant::now(),
            tokens: 0,
            end: End::Finished,
        };
        let mut job = Job {
            ask,
            chat,
            instance,
            ticket,
            alive: exchange.life(),
            stream: EventStream::new(exchange.request, &served.request),
            served,
        };
        let outcome = self.run(&mut job);
        self.settle(job, outcome);
    }

    fn run(&self, job: &mut Job) -> io::Result<()> {
        self.wait_slot(job)?;
        let text = job.ask.text();
        if !self.settings.crash.is_empty() && text.contains(&self.settings.crash) {
            self.crash();
        }
        let prefix: String = text.chars().take(PREFIX).collect();
        if !self.state.change(|s| s.hit(prefix)) {
            thread::sleep(self.settings.prefill);
        }
        let length = self.settings.tokens;
        let limit = job.ask.max_tokens.unwrap_or(length).min(length);
        let end = job.ask.end(&text, limit);
        let mut left = end.unwrap_or(usize::MAX);
        let mut count = 0;
        for mut token in tokens(&text).take(limit) {
            if left == 0 {
                break;
            }
            token.truncate(left);
            left -= token.len();
            count += 1;
            if count <= job.ask.resume_from {
                continue;
            }
            thread::sleep(self.settings.interval);
            self.thaw(&|| job.alive());
            job.token(&token, None)?;
            job.served.tokens += 1;
        }
        let reason = if end.is_none() && limit < length {
            "length"
        } else {
            "stop"
        };
        job.token("", Some(reason))?;
        if job.ask.stream_options["include_usage"] == true {
            let prompt = text.split_whitespace().count();
            let total = prompt + count;
            let usage =
                json!({"prompt_tokens": prompt, "completion_tokens": count, "total_tokens": total});
            job.chunk(&json!([]), &usage)?;
        }
        job.stream.end(true)
    }

    fn wait_slot(&self, job: &Job) -> io::Result<()> {
        let model = &job.ask.model;
        let slots = self.settings.slots;
        while !self.state.change(|s| s.start(job.ticket, slots, model)) {
            if !job.alive() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(PAUSE);
        }
        Ok(())
    }

    fn settle(&self, mut job: Job, outcome: io::Result<()>) {
        let mut state = self.state.lock();
        let alive = job.alive();
        if alive {
            state.release(job.ticket, &job.ask.model);
        }
        if outcome.is_err() {
            job.served.end = if alive { End::Cancelled } else { End::Crashed };
        }
        job.served.until = Instant::now();
        state.journal.served.push(job.served);
        drop(state);
        if let Some(request) = job.stream.into_request() {
            drop(request.into_writer());
        }
    }
}
