package event

// Events of the area program.
var (
	SettingsLoaded = &Event{
		Number: 9001, Severity: Info, Name: "settings loaded",
		Meaning: "The process read and checked the settings file.",
		Action:  "None.",
	}
	SignalReceived = &Event{
		Number: 9002, Severity: Info, Name: "signal received",
		Meaning: "A graceful shutdown begins.",
		Action:  "None.",
	}
	ShutdownForced = &Event{
		Number: 9003, Severity: Warning, Name: "shutdown forced",
		Meaning: "The role did not end within shutdownTimeout, or a second signal arrived.",
		Action:  "See the preceding events for the unfinished work.",
	}
	RoleFailed = &Event{
		Number: 9004, Severity: Error, Name: "role failed",
		Meaning: "The role ended with an error and the process exits with status 1.",
		Action:  "Read the error; common causes are a port in use and a wrong address.",
	}
	MetricsCapped = &Event{
		Number: 9005, Severity: Warning, Name: "metric labels capped",
		Meaning: "More label combinations than the maximum occurred; the process counts further combinations as other.",
		Action:  "Remove unused teams and kinds, or accept the coarser metrics.",
	}
	DependencyLost = &Event{
		Number: 9006, Severity: Warning, Name: "dependency lost",
		Meaning: "A service that the process depends on does not answer; the process continues with the data that it has.",
		Action:  "Check the dependency if it stays unavailable.",
	}
	DependencyRegained = &Event{
		Number: 9007, Severity: Info, Name: "dependency regained",
		Meaning: "A service that the process depends on answers again.",
		Action:  "None.",
	}
	SettingsReloaded = &Event{
		Number: 9008, Severity: Info, Name: "settings reloaded",
		Meaning: "The process read the settings file again after SIGHUP; the values that may change are in use. With `kept`=true, the file is unreadable or invalid and the old values stay in use.",
		Action:  "None.",
	}
	DescriptorsLowered = &Event{
		Number: 9009, Severity: Warning, Name: "fewer descriptors than set",
		Meaning: "The operating system grants the process fewer descriptors than its settings name, or does not tell how many (`err`). The bounds for clients follow the lower number.",
		Action:  "Raise the limit of open files of the process, or lower descriptors in the settings.",
	}
)

var programEvents = []*Event{
	SettingsLoaded, SignalReceived, ShutdownForced, RoleFailed, MetricsCapped,
	DependencyLost, DependencyRegained, SettingsReloaded, DescriptorsLowered,
}
