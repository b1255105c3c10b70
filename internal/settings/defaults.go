package settings

import "time"

// DefaultTiming returns the intervals that the design states.
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

// DefaultEntry returns the settings of an entry instance without names and
// addresses.
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

// DefaultSidecar returns the settings of a sidecar without names and
// addresses, except the local address.
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

// DefaultStandalone returns the settings of the standalone role.
func DefaultStandalone() *Standalone {
	return &Standalone{
		CallerAddress:   "127.0.0.1:7400",
		OperatorAddress: "127.0.0.1:7401",
		Backends:        2,
		Slots:           8,
		Timing:          DefaultTiming(),
	}
}
