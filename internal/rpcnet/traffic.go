package rpcnet

import "sync/atomic"

// Traffic is the traffic of all client and server connections of this process
// since the process started.
type Traffic struct {
	SentBytes      int64 `json:"sentBytes"`
	ReceivedBytes  int64 `json:"receivedBytes"`
	SentFrames     int64 `json:"sentFrames"`
	ReceivedFrames int64 `json:"receivedFrames"`
}

var processTraffic struct{ sentBytes, receivedBytes, sentFrames, receivedFrames atomic.Int64 }

// TotalTraffic returns the traffic of this process.
func TotalTraffic() Traffic {
	return Traffic{
		SentBytes: processTraffic.sentBytes.Load(), ReceivedBytes: processTraffic.receivedBytes.Load(),
		SentFrames: processTraffic.sentFrames.Load(), ReceivedFrames: processTraffic.receivedFrames.Load(),
	}
}
