package slots

// Mutations are the mistakes that tests may make.
var Mutations = &mutations
