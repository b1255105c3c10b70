package rpcnet

import "sync/atomic"

// Traffic is what all connections of this process, as a client and as a
// server, have sent and received since its start.
type Traffic struct {
	SentBytes      int64 `json:"sentBytes"`
	ReceivedBytes  int64 `json:"receivedBytes"`
	SentFrames     int64 `json:"sentFrames"`
	ReceivedFrames int64 `json:"receivedFrames"`
}

var traffic struct{ sentBytes, receivedBytes, sentFrames, receivedFrames atomic.Int64 }

// TotalTraffic returns the traffic of this process.
func TotalTraffic() Traffic {
	return Traffic{
		SentBytes: traffic.sentBytes.Load(), ReceivedBytes: traffic.receivedBytes.Load(),
		SentFrames: traffic.sentFrames.Load(), ReceivedFrames: traffic.receivedFrames.Load(),
	}
}
