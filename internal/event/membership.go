package event

// Events of the area membership.
var (
	PeerSeen = &Event{
		Number: 4001, Severity: Info, Name: "entry peer seen",
		Meaning: "Another entry incarnation was seen for the first time.",
		Action:  "None.",
	}
	PeerLost = &Event{
		Number: 4002, Severity: Warning, Name: "entry peer lost",
		Meaning: "An entry instance sends no heartbeats.",
		Action:  "Replace it if the platform does not.",
	}
	SidecarAttached = &Event{
		Number: 4003, Severity: Info, Name: "sidecar attached",
		Meaning: "A sidecar incarnation attached to this entry instance.",
		Action:  "None.",
	}
	SidecarLost = &Event{
		Number: 4004, Severity: Warning, Name: "sidecar lost",
		Meaning: "A sidecar is silent or refuses connections; its credits are dropped and its tasks may have run.",
		Action:  "Check the worker named.",
	}
	RackLost = &Event{
		Number: 4005, Severity: Error, Name: "rack lost",
		Meaning: "All workers of a rack were lost within one second.",
		Action:  "Check the rack's switch and power.",
	}
	ZoneLost = &Event{
		Number: 4006, Severity: Error, Name: "zone lost",
		Meaning: "All workers of a zone were lost within one second.",
		Action:  "Check the zone; work continues in the others.",
	}
	EntryChosen = &Event{
		Number: 4007, Severity: Info, Name: "entry instance chosen",
		Meaning: "The sidecar attached to another entry instance after a loss or a change of the list.",
		Action:  "None.",
	}
	NoEntryReached = &Event{
		Number: 4008, Severity: Error, Name: "no entry instance reached",
		Meaning: "The sidecar reaches no entry instance and retries with a growing delay.",
		Action:  "Check entryAddresses and the network.",
	}
	ProcessLost = &Event{
		Number: 4010, Severity: Warning, Name: "process lost",
		Meaning: "One process was lost while others of its rack and zone live.",
		Action:  "Replace the instance if the platform does not.",
	}
	MembershipStore = &Event{
		Number: 4011, Severity: Warning, Name: "membership controller",
		Meaning: "The registration in the store could not be renewed; processes find each other without it.",
		Action:  "Check the platform's store if it repeats.",
	}
)

var membershipEvents = []*Event{PeerSeen, PeerLost, SidecarAttached, SidecarLost, RackLost, ZoneLost, EntryChosen, NoEntryReached, ProcessLost, MembershipStore}
