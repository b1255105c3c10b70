package event

// Events of the area store.
var (
	StoreUnavailable = &Event{
		Number: 8001, Severity: Error, Name: "store unavailable",
		Meaning: "Calls to the store fail. Work, discovery and limits continue; edits are refused.",
		Action:  "Restore the store; nothing here needs a restart.",
	}
	StoreAvailable = &Event{
		Number: 8002, Severity: Info, Name: "store available",
		Meaning: "Calls to the store succeed again.",
		Action:  "None.",
	}
	StoreUnknown = &Event{
		Number: 8003, Severity: Warning, Name: "store outcome unknown",
		Meaning: "The store's reply to a write was lost; it is resolved by reading back.",
		Action:  "None.",
	}
	StoreSlow = &Event{
		Number: 8004, Severity: Warning, Name: "store slow",
		Meaning: "Calls to the store take more than half of their timeout.",
		Action:  "Check the store's load.",
	}
	StoreLeaseLost = &Event{
		Number: 8005, Severity: Warning, Name: "store lease lost",
		Meaning: "The lease of this instance's key expired, for example in a pause; it is granted anew.",
		Action:  "None.",
	}
	StoreWatchRestarted = &Event{
		Number: 8006, Severity: Info, Name: "store watch restarted",
		Meaning: "A watch ended and was restarted from the last version seen.",
		Action:  "None.",
	}
)

var storeEvents = []*Event{StoreUnavailable, StoreAvailable, StoreUnknown, StoreSlow, StoreLeaseLost, StoreWatchRestarted}
