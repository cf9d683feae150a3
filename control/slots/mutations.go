package slots

// mutations are faults that tests inject to check that other tests detect them.
var mutations struct {
	TrustTorn   bool // a torn slot is accepted
	ForgetDoubt bool // the newest slot is treated as durable even if it could not be synced
	KeepGhosts  bool // an unreadable slot is not truncated
}
