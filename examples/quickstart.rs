//! Runs five daemons and the fakes of their site in one process.
//!
//! `quickstart` runs until Ctrl-C and then drains; with `--ask TEXT` it sends
//! the prompt to an unloaded model through two hosts and exits.

use std::error::Error;
use std::io::{BufRead, BufReader, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mastichinge::daemon::Daemon;
use mastichinge::fakes::site::{CALLER_KEY, OPERATOR_KEY, Site, SiteSettings};
use mastichinge::logs;
use mastichinge::outside::client::Timeouts;
use mastichinge::outside::http::HttpPlatform;
use mastichinge::settings::{LogSettings, Settings};
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Five daemons and the fakes of their site in one process, to try out.
        cmd quickstart {
            /// Send this prompt to an unloaded model through two hosts, print
            /// the answers, and exit.
            optional --ask text: String
        }
    }
}

/// Maximum time until the daemons are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two requests for the host list.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::Quickstart::from_env_or_exit();
    logs::start(&LogSettings {
        level: "warn".into(),
        ..LogSettings::default()
    })?;
    let site = Site::start(SiteSettings::default())?;
    let settings = site.daemon_settings();
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let mut daemons = Vec::new();
    for s in &settings {
        daemons.push(Daemon::start(s, Arc::new(platform(s)))?);
    }
    for s in &settings {
        wait_ready(s, settings.len())?;
    }
    print_endpoints(&settings);
    match &flags.ask {
        Some(text) => {
            for s in &settings[1..3] {
                send_prompt(s, text)?;
            }
        }
        None => {
            signals.forever().next();
            println!("draining");
        }
    }
    drain(daemons);
    Ok(())
}

fn platform(settings: &Settings) -> HttpPlatform {
    let timeouts = Timeouts::default();
    HttpPlatform::new(settings.platform, settings.platform_key.clone(), timeouts)
}

/// Waits until the host list that a daemon serves to callers has `count` entries.
fn wait_ready(settings: &Settings, count: usize) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{}/v1/hosts", settings.listen.callers);
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let response = attohttpc::get(&url).bearer_auth(CALLER_KEY).send();
        if let Ok(response) = response
            && let Ok(text) = response.text()
        {
            let body: Value = serde_json::from_str(&text)?;
            if body["hosts"].as_array().map(Vec::len) == Some(count) {
                return Ok(());
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(format!("host {} did not become ready", settings.host).into())
}

fn print_endpoints(settings: &[Settings]) {
    for s in settings {
        println!(
            "host {}  callers http://{}  operators http://{}",
            s.host, s.listen.callers, s.listen.operators
        );
    }
    println!("caller key    {CALLER_KEY}");
    println!("operator key  {OPERATOR_KEY}");
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {CALLER_KEY}' \
         -d '{{\"model\": \"m1\", \"stream\": true, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"Is hall B free?\"}}]}}'",
        settings[0].listen.callers
    );
}

/// Sends a prompt to the unloaded model `m1` and prints its streamed answer.
fn send_prompt(settings: &Settings, text: &str) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{}/v1/chat/completions", settings.listen.callers);
    let body = json!({
        "model": "m1",
        "stream": true,
        "messages": [{"role": "user", "content": text}],
    });
    let started = Instant::now();
    let response = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .text(body.to_string())
        .send()?;
    if !response.is_success() {
        return Err(format!("host {}: {}", settings.host, response.text()?).into());
    }
    let mut first_token = None;
    let mut complete = false;
    print!("{}: ", settings.host);
    for line in BufReader::new(response).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        complete |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(piece) = chunk["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        first_token.get_or_insert_with(|| started.elapsed());
        print!("{piece}");
        std::io::stdout().flush()?;
    }
    println!();
    let first_token = first_token.ok_or("the stream ended without a token")?;
    println!(
        "{}: first token after {} ms",
        settings.host,
        first_token.as_millis()
    );
    if !complete {
        return Err("the stream ended before [DONE]".into());
    }
    Ok(())
}

/// Drains all daemons at once.
fn drain(daemons: Vec<Daemon<HttpPlatform>>) {
    let threads: Vec<_> = daemons
        .into_iter()
        .map(|daemon| thread::spawn(move || daemon.drain()))
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}
