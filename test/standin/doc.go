// Package standin puts the stand-ins for the outside world together: a platform's list and the workers on it, with one history.
package standin
