package event

// Events of the area rpc.
var (
	RPCConnected = &Event{
		Number: 6001, Severity: Info, Name: "peer connected",
		Meaning: "A connection to a peer was opened.",
		Action:  "None.",
	}
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
	RPCSlow = &Event{
		Number: 6004, Severity: Warning, Name: "peer slow",
		Meaning: "A call took longer than its bound.",
		Action:  "Check the load of the peer and the network.",
	}
)

var rpcEvents = []*Event{RPCConnected, RPCLost, RPCFrameRejected, RPCSlow}
