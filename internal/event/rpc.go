package event

// Events of the area rpc.
var (
	RPCLost = &Event{
		Number: 6002, Severity: Warning, Name: "peer connection lost",
		Meaning: "A connection to a peer broke; it is reopened with a growing delay.",
		Action:  "Check the peer if it does not return.",
	}
	RPCFrameRejected = &Event{
		Number: 6003, Severity: Error, Name: "frame rejected",
		Meaning: "A frame was too large or unreadable; that connection was closed.",
		Action:  "Find the sender named; a port scan or a wrong address are common causes.",
	}
)

var rpcEvents = []*Event{RPCLost, RPCFrameRejected}
