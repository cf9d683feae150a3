package http1

import "strconv"

// AppendRequest appends a request whose body is framed by Content-Length.
func AppendRequest(b []byte, method, target, host string, h Header, content []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendRest(b, h, content, len(content) > 0 || method == "POST")
}

// AppendResponse appends a response whose body is framed by Content-Length.
func AppendResponse(b []byte, status int, h Header, content []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	return appendRest(b, h, content, status != 204)
}

func appendRest(b []byte, h Header, content []byte, counted bool) []byte {
	for i := range h {
		b = append(b, h[i].Name...)
		b = append(b, ": "...)
		b = append(b, h[i].Value...)
		b = append(b, "\r\n"...)
	}
	if counted {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(content)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, content...)
}
