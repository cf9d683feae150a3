package hollow

import (
	"fmt"
	"net"
	"strconv"
)

// Ports, alike on all hollow machines.
const (
	firstPort = 17240
	ports     = 3
	edgePort  = firstPort + 1
)

// Loopback addresses: a network is the second number of 127.0.0.0/8, and number 0 in it is the leader's.
const (
	perRow      = 250
	mostNetwork = 250
	mostNumber  = perRow*perRow - 1
)

// address of a hollow machine, by its number within a network.
func address(network, number int) (string, error) {
	if network < 1 || network > mostNetwork {
		return "", fmt.Errorf("hollow: network %d is not from 1 to %d", network, mostNetwork)
	}
	if number < 0 || number > mostNumber {
		return "", fmt.Errorf("hollow: machine %d is not from 0 to %d", number, mostNumber)
	}
	return fmt.Sprintf("127.%d.%d.%d", network, number/perRow, number%perRow+1), nil
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
