package event

// Events of the area limits.
var (
	LimitLowering = &Event{
		Number: 5002, Severity: Warning, Name: "limit lowering",
		Meaning: "An allowed decrease is under way; holders above their share start nothing.",
		Action:  "None; the condition Lowering ends when the sum is at the new limit.",
	}
	ShareReclaimed = &Event{
		Number: 5004, Severity: Info, Name: "share reclaimed",
		Meaning: "The share of a dead incarnation returned to the live ones.",
		Action:  "None.",
	}
	ShareHeld = &Event{
		Number: 5005, Severity: Warning, Name: "share held by dead incarnation",
		Meaning: "Part of a limit is unused until a dead incarnation's tasks must have ended.",
		Action:  "None; it is reclaimed after the longest deadline, once the store is available.",
	}
	DecreaseRefused = &Event{
		Number: 5006, Severity: Info, Name: "decrease refused",
		Meaning: "An edit would lower a limit and does not carry allowDecrease=true.",
		Action:  "The operator repeats the edit with the flag if the decrease is meant.",
	}
	LimitStore = &Event{
		Number: 5007, Severity: Warning, Name: "limits controller",
		Meaning: "The limit allocation could not be read or written; shares stay valid and move between peers.",
		Action:  "Check the platform's store if it repeats.",
	}
)

var limitEvents = []*Event{LimitLowering, ShareReclaimed, ShareHeld, DecreaseRefused, LimitStore}
