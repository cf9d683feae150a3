package slots

// Mutations are the faults that tests can inject.
var Mutations = &mutations
