package event

import "log/slog"

// The events of the system; Catalogue returns them in ascending order of number.
var (
	EntryStarted          = Event{Number: 1001, Name: "EntryStarted", Level: slog.LevelInfo, Meaning: "The entry process is listening.", Action: "None."}
	EntryStopping         = Event{Number: 1002, Name: "EntryStopping", Level: slog.LevelInfo, Meaning: "A graceful shutdown began; the readiness check fails from now on.", Action: "None."}
	EntryStopped          = Event{Number: 1003, Name: "EntryStopped", Level: slog.LevelInfo, Meaning: "All calls in flight have ended and the process exits.", Action: "None."}
	EntryReady            = Event{Number: 1004, Name: "EntryReady", Level: slog.LevelInfo, Meaning: "A configuration is in effect on this VM and calls are accepted.", Action: "None."}
	StopDeadlinePassed    = Event{Number: 1005, Name: "StopDeadlinePassed", Level: slog.LevelError, Meaning: "The stop deadline passed with calls still in flight.", Action: "Set StopTimeout above the duration of the longest response."}
	RecordSkipped         = Event{Number: 1101, Name: "RecordSkipped", Level: slog.LevelWarn, Meaning: "A record of a log stream was skipped because it was malformed, oversized, of an unknown kind or a duplicate.", Action: "If it repeats, find the writer by the record's ID."}
	LogUnreachable        = Event{Number: 1102, Name: "LogUnreachable", Level: slog.LevelWarn, Meaning: "The log service did not respond; the state read last stays in effect.", Action: "Check the platform's log service; calls are still served."}
	LogReachable          = Event{Number: 1103, Name: "LogReachable", Level: slog.LevelInfo, Meaning: "The log service responds again.", Action: "None."}
	LogGap                = Event{Number: 1104, Name: "LogGap", Level: slog.LevelError, Meaning: "Records expired from the log before this process had read them.", Action: "The process continues from the next snapshot; increase the log's retention if it repeats."}
	LogRestored           = Event{Number: 1105, Name: "LogRestored", Level: slog.LevelWarn, Meaning: "The log service came back from an older copy, which has lost its newest records; what was read from it is read anew.", Action: "None; see the section on restored copies in OPERATIONS.md."}
	ConfigurationInForce  = Event{Number: 1201, Name: "ConfigurationInForce", Level: slog.LevelInfo, Meaning: "A newer configuration version is in effect on this VM.", Action: "None."}
	ConfigurationConflict = Event{Number: 1202, Name: "ConfigurationConflict", Level: slog.LevelInfo, Meaning: "A change was based on a version that is no longer in effect.", Action: "Read the current version and publish again."}
	ConfigurationFromPeer = Event{Number: 1203, Name: "ConfigurationFromPeer", Level: slog.LevelInfo, Meaning: "A newer configuration was received from a peer.", Action: "None."}
	SnapshotAppended      = Event{Number: 1204, Name: "SnapshotAppended", Level: slog.LevelInfo, Meaning: "A snapshot of a stream was appended before the records that it covers expire.", Action: "None."}
	LeaseAcquired         = Event{Number: 1301, Name: "LeaseAcquired", Level: slog.LevelInfo, Meaning: "This VM acquired the lease of a shard, or the order lease.", Action: "None."}
	LeaseLost             = Event{Number: 1302, Name: "LeaseLost", Level: slog.LevelWarn, Meaning: "This VM lost the lease of a shard, or the order lease.", Action: "None if another VM logs 1301; otherwise check the log service."}
	LeaseReleased         = Event{Number: 1303, Name: "LeaseReleased", Level: slog.LevelInfo, Meaning: "The lease was released during a graceful shutdown.", Action: "None."}
	OrderSent             = Event{Number: 1401, Name: "OrderSent", Level: slog.LevelInfo, Meaning: "An order was sent to an engine after its intent was recorded.", Action: "None."}
	OrderSettled          = Event{Number: 1402, Name: "OrderSettled", Level: slog.LevelInfo, Meaning: "The outcome of an order was recorded.", Action: "None."}
	OrderUnanswered       = Event{Number: 1403, Name: "OrderUnanswered", Level: slog.LevelWarn, Meaning: "An order was sent but not answered; its reservation stays open.", Action: "None; a later report settles the reservation."}
	ReservationStuck      = Event{Number: 1404, Name: "ReservationStuck", Level: slog.LevelError, Meaning: "A reservation has been open for twice the delivery bound.", Action: "Restart the engine named in the event, or wait for its next incarnation."}
	OrderWithheld         = Event{Number: 1405, Name: "OrderWithheld", Level: slog.LevelWarn, Meaning: "An order was not sent because its intent was void or its lease was about to expire.", Action: "None."}
	EndpointLeaving       = Event{Number: 1501, Name: "EndpointLeaving", Level: slog.LevelInfo, Meaning: "An endpoint is about to leave and gets no new work.", Action: "None."}
	EndpointUnreachable   = Event{Number: 1502, Name: "EndpointUnreachable", Level: slog.LevelWarn, Meaning: "An endpoint stopped responding and its circuit breaker opened.", Action: "Check the endpoint VM."}
	EndpointReachable     = Event{Number: 1503, Name: "EndpointReachable", Level: slog.LevelInfo, Meaning: "An endpoint responds again.", Action: "None."}
	VMListUnreachable     = Event{Number: 1504, Name: "VMListUnreachable", Level: slog.LevelWarn, Meaning: "The VM list could not be read; the last list stays in use.", Action: "Check the platform's VM list."}
	PeerJoined            = Event{Number: 1601, Name: "PeerJoined", Level: slog.LevelInfo, Meaning: "A peer entry VM responds to heartbeats.", Action: "None."}
	PeerLost              = Event{Number: 1602, Name: "PeerLost", Level: slog.LevelWarn, Meaning: "A peer entry VM stopped responding to heartbeats.", Action: "Check the VM and the link between failure domains."}
	CallUnknown           = Event{Number: 1701, Name: "CallUnknown", Level: slog.LevelError, Meaning: "An at-most-once call was sent but not answered.", Action: "Ask the service whether the call ran; it is never retried."}
	ClaimsUnavailable     = Event{Number: 1702, Name: "ClaimsUnavailable", Level: slog.LevelWarn, Meaning: "A claim or its outcome could not be recorded; a call whose claim is not recorded is refused without being run.", Action: "Check the log service."}
	AnswerCut             = Event{Number: 1801, Name: "AnswerCut", Level: slog.LevelWarn, Meaning: "An endpoint broke off a response that could not be resumed.", Action: "Check the endpoint VM."}
	AnswerResumed         = Event{Number: 1802, Name: "AnswerResumed", Level: slog.LevelInfo, Meaning: "An interrupted response was resumed at another endpoint.", Action: "None."}
	ForeignAnswerDropped  = Event{Number: 1803, Name: "ForeignAnswerDropped", Level: slog.LevelError, Meaning: "A response that was late or belongs to another call was dropped.", Action: "Check the endpoint that sent it."}
	LeaseSeen             = Event{Number: 1304, Name: "LeaseSeen", Level: slog.LevelInfo, Meaning: "A record of the order lease that another VM wrote was read.", Action: "None."}
	LinkUp                = Event{Number: 1603, Name: "LinkUp", Level: slog.LevelInfo, Meaning: "The link to the holder of the order lease is up.", Action: "None."}
	LinkDown              = Event{Number: 1604, Name: "LinkDown", Level: slog.LevelWarn, Meaning: "The link to the holder of the order lease is down.", Action: "Check the lease holder's VM if the link stays down."}
	CallAnswered          = Event{Number: 1901, Name: "CallAnswered", Level: slog.LevelInfo, Meaning: "A runner answered a request; `Account` names the client account, here and in 1902 to 1905.", Action: "None."}
	CallRefused           = Event{Number: 1902, Name: "CallRefused", Level: slog.LevelInfo, Meaning: "A request was refused without being run.", Action: "See Reason, Account, Shed, Holders and Ready; events 3201 to 3205 show why the models are where they are."}
	CallFailed            = Event{Number: 1903, Name: "CallFailed", Level: slog.LevelWarn, Meaning: "A request ended with an error, returned by the runner or by this VM on its behalf.", Action: "See the 1906 events of the same request."}
	CallAborted           = Event{Number: 1904, Name: "CallAborted", Level: slog.LevelWarn, Meaning: "A response was broken off after it had begun; the caller received `Delivered` bytes of its body, and of a stream the events up to `LastEvent`.", Action: "See the 1906 events of the same request."}
	CallerLeft            = Event{Number: 1905, Name: "CallerLeft", Level: slog.LevelInfo, Meaning: "The caller disconnected before the end of the response.", Action: "None."}
	SendFailed            = Event{Number: 1906, Name: "SendFailed", Level: slog.LevelInfo, Meaning: "One attempt to send a request to a runner failed; `Canceled` is set if this VM ended it because the runner was silent; `LastEvent` is the last event that the caller had by then.", Action: "Check the runner if it repeats."}
	StreamResumed         = Event{Number: 1907, Name: "StreamResumed", Level: slog.LevelInfo, Meaning: "A stream continues at another runner.", Action: "None."}
	ResponseEvicted       = Event{Number: 1908, Name: "ResponseEvicted", Level: slog.LevelWarn, Meaning: "All responses together held too much memory, so the one that held the most was given up.", Action: "Check the runner: sound responses hold little."}
	RunnerRegistered      = Event{Number: 2001, Name: "RunnerRegistered", Level: slog.LevelInfo, Meaning: "A runner registered for the first time, or as a new incarnation.", Action: "None."}
	RunnerChanged         = Event{Number: 2002, Name: "RunnerChanged", Level: slog.LevelInfo, Meaning: "A runner's registration changed.", Action: "None."}
	RunnerRemoved         = Event{Number: 2003, Name: "RunnerRemoved", Level: slog.LevelInfo, Meaning: "A runner's registration was removed; it gets no more requests or orders.", Action: "None."}
	ReleasesMixed         = Event{Number: 2004, Name: "ReleasesMixed", Level: slog.LevelInfo, Meaning: "The runners of `Service` have several releases of their software, or changed to another one; a stream goes on only at its own release.", Action: "None; see the section on several releases in OPERATIONS.md."}
	RunnersOutOfReach     = Event{Number: 2005, Name: "RunnersOutOfReach", Level: slog.LevelWarn, Meaning: "This VM reaches no runner: `Silent` runners sent nothing for `SilenceMS`, or connections to `Failed` runners failed, and so did all `Probes`, within `AfterMS`.", Action: "Check the network between this VM and the runners, unless the runners are down."}
	RunnersReached        = Event{Number: 2006, Name: "RunnersReached", Level: slog.LevelInfo, Meaning: "This VM opened connections to runners again, or no runner is registered any more (`Registered` is 0), `LastedMS` after event 2005.", Action: "None."}
	StreamsReported       = Event{Number: 2007, Name: "StreamsReported", Level: slog.LevelInfo, Meaning: "After the log service came back from an older copy, in `Era`, this VM reported again which releases began `Streams` streams; the lease holder appends what the log lacks.", Action: "None; see the section on restored copies in OPERATIONS.md."}
	OrderAccepted         = Event{Number: 3201, Name: "OrderAccepted", Level: slog.LevelInfo, Meaning: "A runner accepted an order.", Action: "None."}
	OrderDeclined         = Event{Number: 3202, Name: "OrderDeclined", Level: slog.LevelInfo, Meaning: "A runner declined an order because another order is in progress, its order count differs or the fencing token is outdated.", Action: "None."}
	OrderLost             = Event{Number: 3203, Name: "OrderLost", Level: slog.LevelWarn, Meaning: "An order was not answered and may still be carried out; the next accepted order voids it.", Action: "None."}
	OrderDone             = Event{Number: 3204, Name: "OrderDone", Level: slog.LevelInfo, Meaning: "An ordered load or unload of a model or adapter is complete.", Action: "None."}
	LayoutChosen          = Event{Number: 3205, Name: "LayoutChosen", Level: slog.LevelInfo, Meaning: "The planner chose a step; the event lists the demand that led to it.", Action: "None."}
	SettingsReloaded      = Event{Number: 2101, Name: "SettingsReloaded", Level: slog.LevelInfo, Meaning: "The settings file was reloaded.", Action: "None."}
	SettingsUnusable      = Event{Number: 2102, Name: "SettingsUnusable", Level: slog.LevelError, Meaning: "The settings file could not be used; the previous settings stay in effect.", Action: "Validate the file with the command settings check."}
	CallersRefused        = Event{Number: 1909, Name: "CallersRefused", Level: slog.LevelWarn, Meaning: "`Count` requests of callers were refused before they were read, or their connections closed, since the last such line.", Action: "See Reason; if Memory or Connections repeats, find the callers that don't complete their requests."}
	SectionSuspected      = Event{Number: 2201, Name: "SectionSuspected", Level: slog.LevelInfo, Meaning: "Several runners ended while requests with this prompt section waited there for their answers.", Action: "None; a section that is answered is cleared."}
	SectionQuarantined    = Event{Number: 2202, Name: "SectionQuarantined", Level: slog.LevelWarn, Meaning: "A prompt section that ends runners is in quarantine; requests with it are refused. An ID that is long or not UTF-8 is shown as # and its hash.", Action: "Find the callers that use the section, and the reason in the runners."}
	SectionReleased       = Event{Number: 2203, Name: "SectionReleased", Level: slog.LevelInfo, Meaning: "A prompt section left quarantine because it was answered, its runners had not ended, or it was not requested for long.", Action: "None."}
	QuotaGrantExpired     = Event{Number: 2301, Name: "QuotaGrantExpired", Level: slog.LevelWarn, Meaning: "The lease holder's last grant of shares of the accounts' quotas expired; this VM falls back to the smaller of its share and the even share, and then to the even share.", Action: "Check the link to the lease holder (1603, 1604)."}
	QuotaGranted          = Event{Number: 2302, Name: "QuotaGranted", Level: slog.LevelInfo, Meaning: "A grant of shares arrived again after the last one had expired.", Action: "None."}
	LinesDropped          = Event{Number: 2103, Name: "LinesDropped", Level: slog.LevelWarn, Meaning: "Log lines were dropped because standard output was not read fast enough.", Action: "Check the process that reads standard output."}
)

// Catalogue returns all events in ascending order of number.
func Catalogue() []Event {
	return []Event{
		EntryStarted, EntryStopping, EntryStopped, EntryReady, StopDeadlinePassed,
		RecordSkipped, LogUnreachable, LogReachable, LogGap, LogRestored,
		ConfigurationInForce, ConfigurationConflict, ConfigurationFromPeer, SnapshotAppended,
		LeaseAcquired, LeaseLost, LeaseReleased, LeaseSeen,
		OrderSent, OrderSettled, OrderUnanswered, ReservationStuck, OrderWithheld,
		EndpointLeaving, EndpointUnreachable, EndpointReachable, VMListUnreachable,
		PeerJoined, PeerLost, LinkUp, LinkDown,
		CallUnknown, ClaimsUnavailable,
		AnswerCut, AnswerResumed, ForeignAnswerDropped,
		CallAnswered, CallRefused, CallFailed, CallAborted, CallerLeft, SendFailed, StreamResumed, ResponseEvicted, CallersRefused,
		RunnerRegistered, RunnerChanged, RunnerRemoved, ReleasesMixed, RunnersOutOfReach, RunnersReached, StreamsReported,
		SettingsReloaded, SettingsUnusable, LinesDropped,
		SectionSuspected, SectionQuarantined, SectionReleased,
		QuotaGrantExpired, QuotaGranted,
		OrderAccepted, OrderDeclined, OrderLost, OrderDone, LayoutChosen,
	}
}
