package event

// Events of the area http.
var (
	HTTPPanic = &Event{
		Number: 7003, Severity: Error, Name: "handler panicked",
		Meaning: "A request handler panicked; the caller received status 500, or on `cardamomturn-platform` no answer.",
		Action:  "Report the stack trace.",
	}
	HTTPForwardFailed = &Event{
		Number: 7004, Severity: Warning, Name: "forward to owner failed",
		Meaning: "The owner of a submission did not answer a forwarded request.",
		Action:  "None if the owner is being replaced; otherwise check the network.",
	}
	HTTPClientRefused = &Event{
		Number: 7005, Severity: Warning, Name: "client refused",
		Meaning: "A client outside the limits was refused, or its connection was closed. With `unread_answer`, the client did not read an answer; with `connections`, its last request may have been answered; otherwise nothing of its request has run. The line names the port and the reason: `body_too_large`, `header_too_large`, `no_room`, `no_progress` (a time to send a request has passed), `unread_answer` or `connections` (too many).",
		Action:  "If it repeats, find the client by its address. If the client is within the limits of docs/API.md, give the process more memory or descriptors.",
	}
	HTTPIdleClosed = &Event{
		Number: 7006, Severity: Info, Name: "idle connection closed",
		Meaning: "A connection was not used for the operator's idle time and was closed. Answers announce that time in the header Keep-Alive.",
		Action:  "None.",
	}
)

var httpEvents = []*Event{HTTPPanic, HTTPForwardFailed, HTTPClientRefused, HTTPIdleClosed}
