//! Streamed completions of the fake engine.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use super::journal::{StreamEnd, StreamRecord};
use super::state::QueueTicket;
use super::text::{CompletionRequest, endless_tokens, versioned_token};
use super::{Inner, POLL_INTERVAL};
use crate::fakes::server::Exchange;
use crate::http::stream::EventStream;
use crate::outside::engine_http::REQUEST_ID_HEADER;

/// Number of characters of a prompt that the prefix cache compares.
const PREFIX_CHARS: usize = 64;

/// A completion request in progress.
struct StreamJob {
    request: CompletionRequest,
    chat: bool,
    instance: String,
    ticket: QueueTicket,
    stream: EventStream,
    alive: Arc<AtomicBool>,
    record: StreamRecord,
}

impl StreamJob {
    fn send_chunk(&mut self, choices: &Value, usage: &Value) -> io::Result<()> {
        let object = match self.chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        let data = json!({
            "id": self.record.request_id, "object": object, "created": 0,
            "model": self.request.model, "system_fingerprint": self.instance,
            "choices": choices, "usage": usage,
        });
        if !self.is_alive() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.stream.send(&data.to_string())
    }

    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn send_token(&mut self, text: &str, finish_reason: Option<&str>) -> io::Result<()> {
        let choices = match self.chat {
            true => {
                json!([{"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}])
            }
            false => json!([{"index": 0, "text": text, "finish_reason": finish_reason}]),
        };
        self.send_chunk(&choices, &Value::Null)
    }
}

impl Inner {
    pub(super) fn serve_completion(&self, exchange: Exchange, chat: bool) {
        let request = match exchange.json::<CompletionRequest>() {
            Ok(request) => request,
            Err(text) => return exchange.respond_json(400, &text),
        };
        let mut state = self.state.lock();
        if !exchange.is_alive() {
            return exchange.close();
        }
        if !state.is_ready(&request.model) {
            drop(state);
            let error = json!({"error": {"code": "model_not_found", "message": request.model}});
            return exchange.respond_json(404, &error);
        }
        let ticket = state.enqueue(request.priority);
        let instance = state.current.instance.to_string();
        drop(state);
        let record = StreamRecord {
            request_id: exchange.header(REQUEST_ID_HEADER),
            model: request.model.clone(),
            arrived_at: Instant::now(),
            ended_at: Instant::now(),
            tokens: 0,
            end: StreamEnd::Finished,
        };
        let mut job = StreamJob {
            request,
            chat,
            instance,
            ticket,
            alive: exchange.alive_flag(),
            stream: EventStream::new(exchange.request, &record.request_id),
            record,
        };
        let outcome = self.run_stream(&mut job);
        self.finish_stream(job, outcome);
    }

    fn run_stream(&self, job: &mut StreamJob) -> io::Result<()> {
        self.wait_for_slot(job)?;
        let text = job.request.prompt_text();
        if !self.settings.crash_text.is_empty() && text.contains(&self.settings.crash_text) {
            self.crash();
        }
        let prefix: String = text.chars().take(PREFIX_CHARS).collect();
        if !self.state.change(|s| s.lookup_prefix(prefix)) {
            thread::sleep(self.settings.prefill_time);
        }
        let max_tokens = self.settings.tokens;
        let limit = job.request.max_tokens.unwrap_or(max_tokens).min(max_tokens);
        let stop_offset = job.request.stop_offset(&text, limit);
        let mut remaining_bytes = stop_offset.unwrap_or(usize::MAX);
        let mut token_count = 0;
        let model = job.request.model.clone();
        let version = self.state.change(|s| s.loaded_version(&model));
        for token in endless_tokens(&text).take(limit) {
            let mut token = versioned_token(token, &version);
            if remaining_bytes == 0 {
                break;
            }
            token.truncate(remaining_bytes);
            remaining_bytes -= token.len();
            token_count += 1;
            if token_count <= job.request.resume_from {
                continue;
            }
            thread::sleep(self.settings.token_interval);
            self.wait_while_frozen(&|| job.is_alive());
            job.send_token(&token, None)?;
            job.record.tokens += 1;
        }
        let finish_reason = if stop_offset.is_none() && limit < max_tokens {
            "length"
        } else {
            "stop"
        };
        job.send_token("", Some(finish_reason))?;
        if job.request.stream_options["include_usage"] == true {
            let prompt = text.split_whitespace().count();
            let total = prompt + token_count;
            let usage = json!({
                "prompt_tokens": prompt,
                "completion_tokens": token_count,
                "total_tokens": total,
            });
            job.send_chunk(&json!([]), &usage)?;
        }
        job.stream.end(true)
    }

    fn wait_for_slot(&self, job: &StreamJob) -> io::Result<()> {
        let model = &job.request.model;
        let slots = self.settings.slots;
        while !self.state.change(|s| s.try_start(job.ticket, slots, model)) {
            if !job.is_alive() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn finish_stream(&self, mut job: StreamJob, outcome: io::Result<()>) {
        let mut state = self.state.lock();
        let alive = job.is_alive();
        if alive {
            state.release(job.ticket, &job.request.model);
        }
        if outcome.is_err() {
            job.record.end = if alive {
                StreamEnd::Cancelled
            } else {
                StreamEnd::Crashed
            };
        }
        job.record.ended_at = Instant::now();
        state.journal.streams.push(job.record);
        drop(state);
        if let Some(request) = job.stream.into_request() {
            drop(request.into_writer());
        }
    }
}
