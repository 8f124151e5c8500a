package dispatch

import (
	"slices"
	"strconv"
	"strings"

	"heathshed/internal/platform/protocol"
	"heathshed/internal/simbridge/simconfig"
	"heathshed/placer"
)

// parsedRequest contains the fields of a valid launch message.
type parsedRequest struct {
	task placer.Task
	// adoptedFromUID is the UID of the node on which the task already runs. It is empty for a new placement
	// request.
	adoptedFromUID string
}

func (p *parsedRequest) isAdoption() bool { return p.adoptedFromUID != "" }

// requiredResourceCount is the number of resources that a launch message must specify: cores and memory.
const requiredResourceCount = 2

// maxDeadlineMultiple limits the remaining time in a new placement request. The remaining time is at most
// this multiple of the deadline of the task class.
const maxDeadlineMultiple = 2

// millisecondsPerSecond converts between the milliseconds in platform messages and placer.Seconds.
const millisecondsPerSecond = 1000

// maxResourceAmount limits the number of cores and the amount of memory of a task.
const maxResourceAmount = 1e9

// requestParser validates launch messages against the settings.
type requestParser struct {
	settings *simconfig.Settings
}

// parse validates and parses a launch message. The parameter now is the time at which the message arrived.
// The returned error is an *InvalidMessageError.
func (p *requestParser) parse(now placer.Seconds, msg *protocol.Message) (parsedReq parsedRequest, err error) {
	if msg.Body == "" {
		return parsedReq, invalidMessage(InvalidBody, "launch message %s has no body", msg.UID)
	}
	if parsedReq.task.Class, err = p.parseClass(msg); err != nil {
		return parsedReq, err
	}
	if parsedReq.task.Tenant, err = p.parseTenant(msg); err != nil {
		return parsedReq, err
	}
	if _, err := protocol.ParseID(msg.Get(protocol.Key)); err != nil {
		return parsedReq, invalidMessage(InvalidKey, "launch message %s: invalid field Key: %w", msg.UID, err)
	}
	resourceCount, err := parsedReq.parseExtras(msg)
	if err != nil {
		return parsedReq, err
	}
	if parsedReq.task.Deadline, err = p.parseDeadline(now, msg, &parsedReq); err != nil {
		return parsedReq, err
	}
	if resourceCount != requiredResourceCount {
		return parsedReq, invalidMessage(InvalidExtras, "launch message %s: extras %.60q: want cores and memory exactly once each", msg.UID,
			msg.Get(protocol.Extras))
	}
	return parsedReq, nil
}

func (p *requestParser) parseClass(msg *protocol.Message) (int, error) {
	name := msg.Get(protocol.Class)
	class := slices.Index(p.settings.ClassNames, name)
	if class < 0 {
		return 0, invalidMessage(InvalidClass, "launch message %s: unknown task class %.40q", msg.UID, name)
	}
	return class, nil
}

// parseTenant returns the index of the tenant in the settings. A launch message without a tenant is valid
// only if the settings contain no tenants.
func (p *requestParser) parseTenant(msg *protocol.Message) (int, error) {
	name := msg.Get(protocol.Tenant)
	if name == "" && len(p.settings.TenantNames) == 0 {
		return 0, nil
	}
	tenant := slices.Index(p.settings.TenantNames, name)
	if tenant < 0 {
		return 0, invalidMessage(InvalidTenant, "launch message %s: unknown tenant %.40q", msg.UID, name)
	}
	return tenant, nil
}

// parseExtras parses the list of name:value pairs in the field Extras. It skips the pairs with unknown names,
// and returns how many of the pairs specify the cores or the memory of the task.
func (p *parsedRequest) parseExtras(msg *protocol.Message) (resourceCount int, err error) {
	for part := range strings.SplitSeq(msg.Get(protocol.Extras), ";") {
		name, value, _ := strings.Cut(part, ":")
		switch name {
		case "cores":
			resourceCount++
			p.task.Cores, err = parseResource(msg, name, value)
		case "memory":
			resourceCount++
			p.task.Memory, err = parseResource(msg, name, value)
		case "again":
			p.task.IsRetry = value == "1"
		case "service":
			p.task.Service, err = parseService(msg, value)
		case "at":
			p.adoptedFromUID = value
			if value == "" {
				err = invalidMessage(InvalidExtras, "launch message %s: extras: the field \"at\" names no node", msg.UID)
			}
		}
		if err != nil {
			return 0, err
		}
	}
	return resourceCount, nil
}

func parseResource(msg *protocol.Message, name, value string) (float64, error) {
	amount, err := strconv.ParseFloat(value, 64)
	if err != nil || !inRange(amount, maxResourceAmount) {
		return 0, invalidMessage(InvalidExtras, "launch message %s: extras: %s is %.40q, want a number from 0 to 1e9", msg.UID, name, value)
	}
	return amount, nil
}

func parseService(msg *protocol.Message, value string) (placer.ServiceID, error) {
	id, err := protocol.ParseID(value)
	if err != nil {
		return 0, invalidMessage(InvalidExtras, "launch message %s: extras: invalid service ID: %w", msg.UID, err)
	}
	return placer.ServiceID(id), nil
}

// parseDeadline returns the time until which the client waits for an answer. The remaining time in a new
// placement request is at most maxDeadlineMultiple times the deadline of the task class. The remaining time
// in an adoption request is not limited. An adoption request needs no answer, and clients send arbitrary
// values in it, such as the remaining run time of the task.
func (p *requestParser) parseDeadline(now placer.Seconds, msg *protocol.Message, parsedReq *parsedRequest) (placer.Seconds, error) {
	text := msg.Get(protocol.TimeLeft)
	leftMS, err := strconv.ParseFloat(text, 64)
	limitMS := maxDeadlineMultiple * millisecondsPerSecond * float64(p.settings.Placer.Classes[parsedReq.task.Class].Deadline)
	valid := err == nil && (inRange(leftMS, limitMS) || parsedReq.isAdoption() && leftMS >= 0)
	if !valid {
		return 0, invalidMessage(InvalidTimeLeft, "launch message %s: time left is %.40q, want a number of milliseconds from 0 to %g (twice the deadline of the task class)", msg.UID, text, limitMS)
	}
	return now + placer.Seconds(leftMS/millisecondsPerSecond), nil
}

// inRange reports whether a value is a number from 0 to the given limit. It returns false for NaN.
func inRange(value, limit float64) bool { return value >= 0 && value <= limit }
