package settings

import "time"

// DefaultTiming returns the default intervals.
func DefaultTiming() Timing {
	return Timing{
		CreditTTL:       Duration(3 * time.Second),
		BeatInterval:    Duration(500 * time.Millisecond),
		SelfLease:       Duration(2 * time.Second),
		DeadAfter:       Duration(3 * time.Second),
		Window:          Duration(60 * time.Second),
		ShutdownTimeout: Duration(30 * time.Second),
	}
}

// DefaultEntry returns the default settings of an entry instance; the names and
// addresses are empty, except the region.
func DefaultEntry() *Entry {
	return &Entry{
		Region:        "main",
		Store:         Store{Timeout: Duration(2 * time.Second)},
		Timing:        DefaultTiming(),
		AcceptWindows: 5,
		RetainWindows: 15,
		RequestBytes:  4 << 20,
		AnswerBytes:   64 << 20,
	}
}

// DefaultSidecar returns the default settings of a sidecar; the names and
// addresses are empty, except the region and the local address.
func DefaultSidecar() *Sidecar {
	return &Sidecar{
		Region:        "main",
		LocalAddress:  "127.0.0.1:7420",
		Timing:        DefaultTiming(),
		LedgerWindows: 16,
		LedgerBytes:   64 << 20,
		ResultBytes:   1 << 20,
	}
}

// DefaultStandalone returns the default settings of the standalone role.
func DefaultStandalone() *Standalone {
	return &Standalone{
		CallerAddress:   "127.0.0.1:7400",
		OperatorAddress: "127.0.0.1:7401",
		Backends:        2,
		Slots:           8,
		Timing:          DefaultTiming(),
	}
}
