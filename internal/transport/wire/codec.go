package wire

import (
	"github.com/hamba/avro/v2"
	"github.com/samber/oops"
)

// Record is any generated message.
type Record interface {
	Schema() avro.Schema
	Marshal() ([]byte, error)
	Unmarshal([]byte) error
}

var makers = map[Kind]func() Record{
	KindPrepare: func() Record { return &Prepare{} }, KindPromise: func() Record { return &Promise{} },
	KindAccept: func() Record { return &Accept{} }, KindAccepted: func() Record { return &Accepted{} },
	KindQuery: func() Record { return &Query{} }, KindChosen: func() Record { return &Chosen{} },
	KindKeysAsk: func() Record { return &KeysAsk{} }, KindKeysTold: func() Record { return &KeysTold{} },
	KindFoundAsk: func() Record { return &FoundAsk{} }, KindFoundTold: func() Record { return &FoundTold{} },
	KindFound: func() Record { return &Found{} }, KindProbe: func() Record { return &Probe{} },
	KindProbeAck: func() Record { return &ProbeAck{} }, KindProbeVia: func() Record { return &ProbeVia{} },
	KindGrantAsk: func() Record { return &GrantAsk{} }, KindGrantTold: func() Record { return &GrantTold{} },
	KindGrantBack: func() Record { return &GrantBack{} }, KindPost: func() Record { return &Post{} },
	KindPostAck: func() Record { return &PostAck{} }, KindSubscribe: func() Record { return &Subscribe{} },
	KindNews: func() Record { return &News{} }, KindReport: func() Record { return &Report{} },
	KindWant: func() Record { return &Want{} }, KindUse: func() Record { return &Use{} },
	KindHomeAsk: func() Record { return &HomeAsk{} }, KindHomeTold: func() Record { return &HomeTold{} },
	KindPermitAsk: func() Record { return &PermitAsk{} }, KindPermitGiven: func() Record { return &PermitGiven{} },
	KindPermitBack: func() Record { return &PermitBack{} }, KindSeen: func() Record { return &Seen{} },
	KindMessagesReceived: func() Record { return &MessagesReceived{} },
	KindMessagesSent:     func() Record { return &MessagesSent{} },
	KindTaskCompleted:    func() Record { return &TaskCompleted{} },
	KindStepCompleted:    func() Record { return &StepCompleted{} },
	KindPeerRenewed:      func() Record { return &PeerRenewed{} }, KindEvent: func() Record { return &Event{} },
	KindAcceptorRecord: func() Record { return &AcceptorRecord{} },
	KindAdoptRecord:    func() Record { return &AdoptRecord{} }, KindOrder: func() Record { return &Order{} },
	KindSnapshot: func() Record { return &Snapshot{} }, KindWorkerNews: func() Record { return &WorkerNews{} },
	KindWorkerList: func() Record { return &WorkerList{} }, KindOwner: func() Record { return &Owner{} },
	KindCoreSet: func() Record { return &CoreSet{} }, KindSealRecord: func() Record { return &SealRecord{} },
	KindHandover:      func() Record { return &Handover{} },
	KindHandoverTaken: func() Record { return &HandoverTaken{} },
	KindTicketWish:    func() Record { return &TicketWish{} }, KindTicketDone: func() Record { return &TicketDone{} },
	KindTicketAsk: func() Record { return &TicketAsk{} }, KindTicketTold: func() Record { return &TicketTold{} },
	KindContact: func() Record { return &Contact{} }, KindWaits: func() Record { return &Waits{} },
	KindBare: func() Record { return &Bare{} }, KindTally: func() Record { return &Tally{} }, KindTallies: func() Record { return &Tallies{} }, KindFleet: func() Record { return &Fleet{} },
	KindWriteAsk: func() Record { return &WriteAsk{} },
}

// Encode turns a record into bytes. A record that its own schema cannot hold
// is a broken invariant.
//
//	body := wire.Encode(&wire.Query{Key: "policy"})
func Encode(record Record) []byte {
	body, err := record.Marshal()
	if err != nil {
		panic(oops.Wrapf(err, "record does not fit its schema"))
	}
	return body
}

// Decode reads a record of the kind named.
//
//	record, err := wire.Decode(wire.KindQuery, body)
func Decode(kind Kind, body []byte) (Record, error) {
	maker, ok := makers[kind]
	if !ok {
		return nil, oops.Errorf("no record of kind %d", kind)
	}
	record := maker()
	if err := record.Unmarshal(body); err != nil {
		return nil, oops.Wrapf(err, "reading %s", kind)
	}
	return record, nil
}

// Send is a message on its way out of a machine. To is a member id, or an
// address where no member is known yet (it then holds a colon).
type Send struct {
	To   string
	Kind Kind
	Body Record
}

// Answer is what a machine says to the call that asked.
type Answer struct {
	Call int64
	Body any
}

// Outputs is what one step of a machine wants done. Sends leave at once;
// Writes go to the journal; Then and Answers wait until all writes made up to
// this step are durable.
type Outputs struct {
	Sends   []Send
	Writes  []Write
	Then    []Send
	Answers []Answer
}

// Write is one record for the journal.
type Write struct {
	Kind Kind
	Body []byte
}

// Send adds a message that may leave at once.
//
//	out.Send("c1~7f", wire.KindQuery, &wire.Query{Key: "policy"})
func (o *Outputs) Send(to string, kind Kind, body Record) {
	o.Sends = append(o.Sends, Send{To: to, Kind: kind, Body: body})
}

// After adds a message that waits for the writes made so far.
//
//	out.After("c1~7f", wire.KindAccepted, &wire.Accepted{Key: "policy", Ok: true})
func (o *Outputs) After(to string, kind Kind, body Record) {
	o.Then = append(o.Then, Send{To: to, Kind: kind, Body: body})
}

// Write adds a record for the journal.
//
//	out.Write(wire.KindAcceptorRecord, &wire.AcceptorRecord{Key: "policy"})
func (o *Outputs) Write(kind Kind, record Record) {
	o.Writes = append(o.Writes, Write{Kind: kind, Body: Encode(record)})
}

// Add joins another step's outputs to these.
//
//	out.Add(machine.Tick(now))
func (o *Outputs) Add(more Outputs) {
	o.Sends = append(o.Sends, more.Sends...)
	o.Writes = append(o.Writes, more.Writes...)
	o.Then = append(o.Then, more.Then...)
	o.Answers = append(o.Answers, more.Answers...)
}

// Empty tells whether nothing is to be done.
//
//	if out.Empty() { return }
func (o *Outputs) Empty() bool {
	return len(o.Sends)+len(o.Writes)+len(o.Then)+len(o.Answers) == 0
}
