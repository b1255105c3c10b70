package event

// Events of the area membership.
var (
	PeerSeen = &Event{
		Number: 4001, Severity: Info, Name: "entry peer seen",
		Meaning: "This process saw another entry incarnation for the first time.",
		Action:  "None.",
	}
	PeerLost = &Event{
		Number: 4002, Severity: Warning, Name: "entry peer lost",
		Meaning: "An entry instance sends no heartbeats or does not answer heartbeats.",
		Action:  "Replace the instance if the platform does not replace it.",
	}
	SidecarAttached = &Event{
		Number: 4003, Severity: Info, Name: "sidecar attached",
		Meaning: "A sidecar incarnation attached to this entry instance.",
		Action:  "None.",
	}
	SidecarLost = &Event{
		Number: 4004, Severity: Warning, Name: "sidecar lost",
		Meaning: "A sidecar sends no heartbeats or refuses connections; the entry instance drops its credits, and its tasks may have run.",
		Action:  "Check the named worker.",
	}
	RackLost = &Event{
		Number: 4005, Severity: Error, Name: "rack lost",
		Meaning: "All workers of a rack were lost within one second.",
		Action:  "Check the rack's switch and power.",
	}
	ZoneLost = &Event{
		Number: 4006, Severity: Error, Name: "zone lost",
		Meaning: "All workers of a zone were lost within one second.",
		Action:  "Check the zone; work continues in the other zones.",
	}
	EntryChosen = &Event{
		Number: 4007, Severity: Info, Name: "entry instance chosen",
		Meaning: "The sidecar attached to an entry incarnation, for example at its start or because an entry instance was lost or the list of entry instances changed.",
		Action:  "None.",
	}
	NoEntryReached = &Event{
		Number: 4008, Severity: Error, Name: "no entry instance reached",
		Meaning: "The sidecar cannot reach any entry instance and retries with a growing delay.",
		Action:  "Check entryAddresses and the network.",
	}
	ProcessLost = &Event{
		Number: 4010, Severity: Warning, Name: "process lost",
		Meaning: "One process was lost while other processes of its rack and zone are alive.",
		Action:  "Replace the instance if the platform does not replace it.",
	}
	MembershipControllerFault = &Event{
		Number: 4011, Severity: Warning, Name: "membership controller",
		Meaning: "The membership controller could not renew the registration in the store; processes find each other without it.",
		Action:  "Check the platform's store if this event repeats.",
	}
)

var membershipEvents = []*Event{PeerSeen, PeerLost, SidecarAttached, SidecarLost, RackLost, ZoneLost, EntryChosen, NoEntryReached, ProcessLost, MembershipControllerFault}
