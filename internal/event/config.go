package event

// Events of the area config.
var (
	ConfigInForce = &Event{
		Number: 3001, Severity: Info, Name: "configuration in force",
		Meaning: "This process uses a new revision.",
		Action:  "None.",
	}
	ConfigRejected = &Event{
		Number: 3002, Severity: Error, Name: "configuration rejected",
		Meaning: "A revision is invalid or unreadable; the old one stays in use.",
		Action:  "Correct the resource; see the condition Rejected in its status.",
	}
	ConfigPulled = &Event{
		Number: 3003, Severity: Info, Name: "configuration pulled from peer",
		Meaning: "A newer revision came from a peer.",
		Action:  "None.",
	}
	ConfigAccepted = &Event{
		Number: 3005, Severity: Info, Name: "change accepted",
		Meaning: "An operator's change is in the store.",
		Action:  "None.",
	}
	ConfigConflict = &Event{
		Number: 3006, Severity: Info, Name: "change conflicts",
		Meaning: "A change named an old resourceVersion and was refused.",
		Action:  "The operator reads again and repeats the edit.",
	}
	ConfigUnknown = &Event{
		Number: 3007, Severity: Error, Name: "change outcome unknown",
		Meaning: "The store did not confirm a change and reading back failed.",
		Action:  "The operator reads the resource before repeating the edit.",
	}
	ConfigStore = &Event{
		Number: 3009, Severity: Warning, Name: "configuration controller",
		Meaning: "The configuration controller met a fault of the store or of a document and goes on.",
		Action:  "See the detail; check the platform's store if it repeats.",
	}
)

var configEvents = []*Event{ConfigInForce, ConfigRejected, ConfigPulled, ConfigAccepted, ConfigConflict, ConfigUnknown, ConfigStore}
