package slots

// mutations are faults that tests inject to check that other tests detect them.
var mutations struct {
	AcceptTornSlot      bool // a torn slot is accepted
	AssumeNewestDurable bool // the newest slot is treated as durable even if it could not be synced
	KeepUnreadableSlot  bool // an unreadable slot is not truncated
}
