package event

// Events of the area limits.
var (
	LimitLowering = &Event{
		Number: 5002, Severity: Warning, Name: "limit lowering",
		Meaning: "A permitted decrease of a limit is in progress; holders that use more than their share start no tasks.",
		Action:  "None; the condition Lowering ends when the shares and the use of all holders fit into the new limit.",
	}
	ShareReclaimed = &Event{
		Number: 5004, Severity: Info, Name: "share reclaimed",
		Meaning: "The live incarnations received the share of a dead incarnation.",
		Action:  "None.",
	}
	ShareHeld = &Event{
		Number: 5005, Severity: Warning, Name: "share held by dead incarnation",
		Meaning: "Part of a limit stays unused until the tasks of a dead incarnation must have ended.",
		Action:  "None; the share is reclaimed after the longest deadline, once the store is available.",
	}
	DecreaseRefused = &Event{
		Number: 5006, Severity: Info, Name: "decrease refused",
		Meaning: "An edit that lowers a limit was refused because it does not carry allowDecrease=true.",
		Action:  "The operator repeats the edit with allowDecrease=true if the decrease is intended.",
	}
	LimitControllerFault = &Event{
		Number: 5007, Severity: Warning, Name: "limits controller",
		Meaning: "The limits controller could not read or write the limit allocation; shares stay valid and move between peers.",
		Action:  "Check the platform's store if this event repeats.",
	}
)

var limitEvents = []*Event{LimitLowering, ShareReclaimed, ShareHeld, DecreaseRefused, LimitControllerFault}
