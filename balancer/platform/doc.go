// Package platform holds the names of the users' protocol that its client side and its server side share. The scheduler knows
// none of them.
package platform
