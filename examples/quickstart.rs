//! Five daemons and their stand-ins in one process.
//!
//! `quickstart` stays until Ctrl-C and then drains; with `--ask TEXT` it sends
//! the prompt to a sleeping model through two entry hosts and exits.

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
        /// Five daemons and their stand-ins in one process, for a first look.
        cmd quickstart {
            /// Send this prompt to a sleeping model through two hosts, print
            /// the answers, and exit.
            optional --ask text: String
        }
    }
}

/// Longest time for the daemons to become ready.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks at them.
const LOOK: Duration = Duration::from_millis(50);

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
    introduce(&settings);
    match &flags.ask {
        Some(text) => {
            for s in &settings[1..3] {
                ask(s, text)?;
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
    let limits = Timeouts::default();
    HttpPlatform::new(settings.platform, settings.platform_key.clone(), limits)
}

/// Waits until a host names all `count` hosts to its callers.
fn wait_ready(settings: &Settings, count: usize) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{}/v1/hosts", settings.listen.callers);
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let answer = attohttpc::get(&url).bearer_auth(CALLER_KEY).send();
        if let Ok(answer) = answer
            && let Ok(text) = answer.text()
        {
            let body: Value = serde_json::from_str(&text)?;
            if body["hosts"].as_array().map(Vec::len) == Some(count) {
                return Ok(());
            }
        }
        thread::sleep(LOOK);
    }
    Err(format!("host {} did not become ready", settings.host).into())
}

fn introduce(settings: &[Settings]) {
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

/// Sends a prompt to the sleeping model `m1` and prints its streamed answer.
fn ask(settings: &Settings, text: &str) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{}/v1/chat/completions", settings.listen.callers);
    let body = json!({
        "model": "m1",
        "stream": true,
        "messages": [{"role": "user", "content": text}],
    });
    let begun = Instant::now();
    let answer = attohttpc::post(url)
        .bearer_auth(CALLER_KEY)
        .text(body.to_string())
        .send()?;
    if !answer.is_success() {
        return Err(format!("host {}: {}", settings.host, answer.text()?).into());
    }
    let mut first = None;
    let mut whole = false;
    print!("{}: ", settings.host);
    for line in BufReader::new(answer).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        whole |= data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(piece) = chunk["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        first.get_or_insert_with(|| begun.elapsed());
        print!("{piece}");
        std::io::stdout().flush()?;
    }
    println!();
    let first = first.ok_or("no token came")?;
    println!(
        "{}: first token after {} ms",
        settings.host,
        first.as_millis()
    );
    if !whole {
        return Err("the stream broke off".into());
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
