// Package wire holds what the processes say to each other and what the journal
// keeps: records generated from messages.avsc and the kinds that name them.
package wire

//go:generate go tool avrogen -encoders -template-filename messages.tmpl -pkg wire -o messages_gen.go messages.avsc
//go:generate go tool enumer -type=Kind -output=kind_gen.go
//go:generate go tool enumer -type=Verdict -output=verdict_gen.go
//go:generate go tool enumer -type=Standing -output=standing_gen.go

// Kind names the record in a message, a journal record or an event.
type Kind int64

// The kinds, in the order of messages.avsc. New ones go to the end.
const (
	KindNone Kind = iota
	KindPrepare
	KindPromise
	KindAccept
	KindAccepted
	KindQuery
	KindChosen
	KindKeysAsk
	KindKeysTold
	KindFoundAsk
	KindFoundTold
	KindFound
	KindProbe
	KindProbeAck
	KindProbeVia
	KindGrantAsk
	KindGrantTold
	KindGrantBack
	KindPost
	KindPostAck
	KindSubscribe
	KindNews
	KindReport
	KindWant
	KindUse
	KindHomeAsk
	KindHomeTold
	KindPermitAsk
	KindPermitGiven
	KindPermitBack
	KindSeen
	KindMessagesReceived
	KindMessagesSent
	KindTaskCompleted
	KindStepCompleted
	KindPeerRenewed
	KindEvent
	KindAcceptorRecord
	KindAdoptRecord
	KindOrder
	KindSnapshot
	KindWorkerNews
	KindWorkerList
	KindOwner
	KindCoreSet
	KindSealRecord
	KindHandover
	KindHandoverTaken
	KindTicketWish
	KindTicketDone
	KindTicketAsk
	KindTicketTold
	KindContact
	KindBare
	KindWaits
	KindTally
	KindFleet
	KindWriteAsk
	KindTallies
)

// Verdict is what a worker's partition says to an item that asked for a home.
type Verdict int64

// The verdicts.
const (
	VerdictNone Verdict = iota
	VerdictKept
	VerdictComing
	VerdictRefused
	VerdictGone
	// VerdictBusy: another model comes there first; it may be asked again soon.
	VerdictBusy
)

// Standing is how the others see a member.
type Standing int64

// The standings of a member.
const (
	StandingWell Standing = iota
	StandingSuspect
	StandingLeaving
	StandingRemoved
)
