package http1

// These are the status codes that this module sends or handles specially.
const (
	StatusContinue             = 100
	StatusOK                   = 200
	StatusCreated              = 201
	StatusAccepted             = 202
	StatusNoContent            = 204
	StatusNotModified          = 304
	StatusBadRequest           = 400
	StatusUnauthorized         = 401
	StatusForbidden            = 403
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusNotAcceptable        = 406
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusGone                 = 410
	StatusLengthRequired       = 411
	StatusContentTooLarge      = 413
	StatusURITooLong           = 414
	StatusUnsupportedMediaType = 415
	StatusExpectationFailed    = 417
	StatusUnprocessableContent = 422
	StatusTooManyRequests      = 429
	StatusHeaderFieldsTooLarge = 431
	StatusInternalServerError  = 500
	StatusNotImplemented       = 501
	StatusServiceUnavailable   = 503
	StatusGatewayTimeout       = 504
	StatusVersionNotSupported  = 505
)

var statusTexts = map[int]string{
	StatusContinue:             "Continue",
	StatusOK:                   "OK",
	StatusCreated:              "Created",
	StatusAccepted:             "Accepted",
	StatusNoContent:            "No Content",
	StatusNotModified:          "Not Modified",
	StatusBadRequest:           "Bad Request",
	StatusUnauthorized:         "Unauthorized",
	StatusForbidden:            "Forbidden",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusNotAcceptable:        "Not Acceptable",
	StatusRequestTimeout:       "Request Timeout",
	StatusConflict:             "Conflict",
	StatusGone:                 "Gone",
	StatusLengthRequired:       "Length Required",
	StatusContentTooLarge:      "Content Too Large",
	StatusURITooLong:           "URI Too Long",
	StatusUnsupportedMediaType: "Unsupported Media Type",
	StatusExpectationFailed:    "Expectation Failed",
	StatusUnprocessableContent: "Unprocessable Content",
	StatusTooManyRequests:      "Too Many Requests",
	StatusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:  "Internal Server Error",
	StatusNotImplemented:       "Not Implemented",
	StatusServiceUnavailable:   "Service Unavailable",
	StatusGatewayTimeout:       "Gateway Timeout",
	StatusVersionNotSupported:  "HTTP Version Not Supported",
}

// unknownStatusText is the reason phrase for status codes that statusTexts does not contain. Clients ignore
// the reason phrase.
const unknownStatusText = "Status"

// StatusText returns the reason phrase of a status code, or unknownStatusText if this module does not use
// the code.
func StatusText(status int) string {
	if text := statusTexts[status]; text != "" {
		return text
	}
	return unknownStatusText
}

// IsSuccess reports whether a status code is in the 2xx range.
func IsSuccess(status int) bool { return status/100 == 2 }

// StatusHasBody reports whether a response with this status code may have a body.
func StatusHasBody(status int) bool {
	return status >= StatusOK && status != StatusNoContent && status != StatusNotModified
}
