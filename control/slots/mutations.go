package slots

// mutations are mistakes that tests make on purpose, to see that they would be caught.
var mutations struct {
	TrustTorn   bool // a slot that was torn counts
	ForgetDoubt bool // the newest slot counts as durable, though it could not be synced
	KeepGhosts  bool // a slot that is not readable is not cleared
}
