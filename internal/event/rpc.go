package event

// Events of the area rpc.
var (
	RPCConnectionLost = &Event{
		Number: 6002, Severity: Warning, Name: "peer connection lost",
		Meaning: "A connection to a peer broke; this process reopens it with a growing delay.",
		Action:  "Check the peer if the connection does not return.",
	}
	RPCFrameRejected = &Event{
		Number: 6003, Severity: Error, Name: "frame rejected",
		Meaning: "A received frame was too large or unreadable; this process closed the connection, or replied with an error if it could read the header.",
		Action:  "Find the named sender; common causes are a port scan and a wrong address.",
	}
	ConnectionNotAccepted = &Event{
		Number: 6004, Severity: Warning, Name: "connection not accepted",
		Meaning: "The listener of the internal port failed to accept a connection; this process tries again with a growing delay.",
		Action:  "If this event repeats, check the process's number of descriptors against its limit.",
	}
)

var rpcEvents = []*Event{RPCConnectionLost, RPCFrameRejected, ConnectionNotAccepted}
