// Package simadapter runs placers under the simulator. It translates the events of the simulator into events
// of the placer, and the actions of the placer into action records of the simulator's protocol. Each
// scheduler instance has its own Placer, whose state is separate from all others. The command cmd/simadapter
// calls Run, which is the entry point.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

const inputBufferBytes = 1 << 16

// adapter owns the scheduler instances of a simulator run and the node lists that the simulator has defined.
type adapter struct {
	instances map[uint32]*instance
	nodeLists [simproto.MaxNodeLists][]placer.Node
	writer    simproto.Writer
	actions   []placer.Action // actions is a buffer that is reused for each event.
	warnings  io.Writer
}

// Run reads batches of events from in and writes the replies to out until the input ends. It writes a line to
// warnings for each event of an unknown scheduler instance. If a batch is invalid, Run returns an error and
// does not reply to it.
func Run(in io.Reader, out io.Writer, warnings io.Writer) error {
	reader := simproto.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	a := &adapter{instances: map[uint32]*instance{}, warnings: warnings}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(reader, batch); err != nil {
			return err
		}
		if _, err := out.Write(a.writer.Finish()); err != nil {
			return fmt.Errorf("write reply to batch %d: %w", batch.Number, err)
		}
	}
}

// handleBatch handles all events of a batch and adds the resulting actions to the reply in the adapter's
// writer.
func (a *adapter) handleBatch(reader *simproto.Reader, batch simproto.Batch) error {
	var record simproto.Event
	a.writer.Start(batch.Number)
	for i := range batch.RecordCount {
		if err := reader.Read(&record); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
		if err := a.handleEvent(batch.Now, &record); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
	}
	if reader.RemainingBytes() != 0 {
		return fmt.Errorf("batch %d: %d bytes follow the last record", batch.Number, reader.RemainingBytes())
	}
	return nil
}

// handleEvent handles one event. The argument now is the clock time of the batch that contains the event.
func (a *adapter) handleEvent(now placer.Seconds, record *simproto.Event) error {
	switch record.Code {
	case simproto.EventDefineList:
		a.defineNodeList(record)
		return nil
	case simproto.EventInstanceStart:
		newTarget, err := newInstance(record)
		if err != nil {
			return fmt.Errorf("scheduler instance %d: %w", record.Instance, err)
		}
		a.instances[record.Instance] = newTarget
		return nil
	case simproto.EventInstanceStop:
		delete(a.instances, record.Instance)
		return nil
	}
	target := a.instances[record.Instance]
	if target == nil {
		// An error of this write is ignored because a lost warning must not end the run.
		_, _ = fmt.Fprintf(a.warnings, "event %d for instance %d, which has not begun: skipped\n", record.Code, record.Instance)
		return nil
	}
	event, relevant, err := target.translateEvent(record, &a.nodeLists)
	if err != nil || !relevant {
		return err
	}
	a.handlePlacerEvent(now, record.Instance, target, event)
	return nil
}

// defineNodeList replaces the node list that has the list number of the record.
func (a *adapter) defineNodeList(record *simproto.Event) {
	list := a.nodeLists[record.ListNumber][:0]
	for i := range record.Entries {
		list = append(list, translateNode(&record.Entries[i]))
	}
	a.nodeLists[record.ListNumber] = list
}

// handlePlacerEvent passes one event to the placer of an instance and adds the resulting actions to the
// reply. If the placer panics, the reply reports the panic for this instance.
func (a *adapter) handlePlacerEvent(now placer.Seconds, instanceID uint32, target *instance, event placer.Event) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			a.writer.ReportPanic(instanceID, fmt.Sprintf("panic: %v", panicValue))
		}
	}()
	a.actions = target.placer.Handle(now, event, a.actions[:0])
	for i := range a.actions {
		a.writeAction(instanceID, &a.actions[i])
	}
}

// writeAction adds an action of a placer to the reply.
func (a *adapter) writeAction(instanceID uint32, action *placer.Action) {
	taskID := uint64(action.Task)
	switch action.Kind {
	case placer.StartAttempt:
		a.writer.StartAttempt(instanceID, taskID, action.Until, simproto.NodeAddress(action.Node))
	case placer.Reject:
		a.writer.Reject(instanceID, taskID, action.After)
	case placer.Fail:
		a.writer.Fail(instanceID, taskID)
	case placer.SetTimer:
		a.writer.SetTimer(instanceID, action.Token, action.After)
	case placer.WatchNodes:
		a.writer.WatchNodes(instanceID)
	case placer.Migrate:
		a.writer.Migrate(instanceID, taskID)
	case placer.ListNodes:
		a.writer.ListNodes(instanceID)
	}
}

// instance is one scheduler instance under simulation.
type instance struct {
	placer       *placer.Placer
	reportFields []string      // reportFields holds the names of the values of a load report.
	loadReport   placer.Report // loadReport is reused for each event.
}

// newInstance creates a scheduler instance with the settings and the random seed of the record.
func newInstance(record *simproto.Event) (*instance, error) {
	settings, err := simconfig.Parse(record.Settings)
	if err != nil {
		return nil, err
	}
	instancePlacer, err := placer.New(settings.Placer, record.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &instance{placer: instancePlacer, reportFields: settings.ReportFields}, nil
}
