//! Server-sent event streams; each event is flushed on its own.

use std::io::{self, Write};

use tiny_http::Request;

use super::response::REQUEST_ID_HEADER;

/// Data of the event that ends a stream of the OpenAI API.
const DONE_DATA: &str = "[DONE]";

/// State of an event stream.
enum StreamState {
    /// No byte of the response was sent yet.
    Pending(Box<Request>),
    /// The response head was sent.
    Streaming(Box<dyn Write + Send>),
    /// The last chunk was sent, or the client has disconnected.
    Ended,
}

/// An event stream to one client.
pub struct EventStream {
    state: StreamState,
    id: String,
    /// Buffer for the HTTP chunk of one event.
    frame: Vec<u8>,
}

impl EventStream {
    /// Creates the response stream of `request`; sends nothing before the first
    /// event.
    pub fn new(request: Request, id: &str) -> Self {
        EventStream {
            state: StreamState::Pending(Box::new(request)),
            id: id.to_owned(),
            frame: Vec::new(),
        }
    }

    /// Returns whether a byte of the response was sent.
    pub fn is_started(&self) -> bool {
        !matches!(self.state, StreamState::Pending(_))
    }

    /// Returns the request if nothing was sent yet.
    pub fn into_request(self) -> Option<Request> {
        match self.state {
            StreamState::Pending(request) => Some(*request),
            _ => None,
        }
    }

    /// Sends one event.
    ///
    /// # Errors
    ///
    /// The client disconnected or did not read in time.
    pub fn send(&mut self, data: &str) -> io::Result<()> {
        self.start()?;
        let StreamState::Streaming(writer) = &mut self.state else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        let length = "data: ".len() + data.len() + "\n\n".len();
        self.frame.clear();
        write!(self.frame, "{length:x}\r\ndata: {data}\n\n\r\n")?;
        writer.write_all(&self.frame)?;
        writer.flush()
    }

    /// Ends the stream. `complete` first sends the event that marks a complete
    /// response.
    ///
    /// # Errors
    ///
    /// The client disconnected or did not read in time.
    pub fn end(&mut self, complete: bool) -> io::Result<()> {
        if complete {
            self.send(DONE_DATA)?;
        }
        let StreamState::Streaming(mut writer) =
            std::mem::replace(&mut self.state, StreamState::Ended)
        else {
            return Ok(());
        };
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }

    fn start(&mut self) -> io::Result<()> {
        if self.is_started() {
            return Ok(());
        }
        let StreamState::Pending(request) = std::mem::replace(&mut self.state, StreamState::Ended)
        else {
            return Ok(());
        };
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n{REQUEST_ID_HEADER}: {}\r\n\r\n",
            self.id
        )?;
        self.state = StreamState::Streaming(writer);
        Ok(())
    }
}
