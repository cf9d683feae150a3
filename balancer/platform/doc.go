// Package platform defines the names in the users' protocol that its client side (frontend) and its server side (backend) share.
// Package scheduler does not depend on them.
package platform
