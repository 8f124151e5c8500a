package dispatch

import "testing"

// TestSelectConn checks which client connection is selected for a notification, in particular if the
// preferred connection is closed. It also checks for which connection isOnlyClient returns true.
func TestSelectConn(t *testing.T) {
	unidentifiedConn := clientConn{}
	for _, test := range []struct {
		name          string
		conns         []clientConn // conns contains the open connections. Their IDs are 1, 2 and so on.
		preferredConn ConnID
		wantConn      ConnID // wantConn is the connection that selectConn must return, or 0 for none.
		onlyClient    ConnID // onlyClient is the only connection that is identified, or 0 if there is none.
	}{
		{"no client connection is open", nil, 1, 0, 0},
		{"no valid message has arrived on any client connection", []clientConn{unidentifiedConn, unidentifiedConn}, 9, 0, 0},
		{"preferred client connection is open but no valid message has arrived on it", []clientConn{unidentifiedConn, {identity: clientOwner, lastIdentifiedAt: 5}}, 1, 1, 2},
		{"a valid message has arrived on only one client connection", []clientConn{unidentifiedConn, {identity: clientOwner, lastIdentifiedAt: 5}, unidentifiedConn}, 9, 2, 2},
		{"client connection with the most recently placed task is selected", []clientConn{{identity: clientOwner, lastIdentifiedAt: 5, lastPlacedAt: 4}, {identity: clientOwner, lastIdentifiedAt: 6, lastPlacedAt: 3}}, 9, 1, 0},
		{"client connection with the most recent valid message is selected if the placement times are equal", []clientConn{{identity: clientOwner, lastIdentifiedAt: 6, lastPlacedAt: 3}, {identity: clientOwner, lastIdentifiedAt: 5, lastPlacedAt: 3}}, 9, 1, 0},
		{"client connection with the highest ID is selected if the placement times and the message times are equal", []clientConn{{identity: clientOwner, lastIdentifiedAt: 6}, {identity: clientOwner, lastIdentifiedAt: 6}}, 9, 2, 0},
		{"owner's client connection is selected before one with a later health check", []clientConn{{identity: clientOwner, lastIdentifiedAt: 5}, {identity: clientProber, lastIdentifiedAt: 6}}, 9, 1, 0},
		{"client connection with a health check is selected if there is no owner's", []clientConn{unidentifiedConn, {identity: clientProber, lastIdentifiedAt: 6}}, 9, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := newClientRegistry(&sharedState{})
			for i := range test.conns {
				test.conns[i].id = ConnID(i + 1)
				registry.conns[ConnID(i+1)] = &test.conns[i]
			}

			var selectedConn ConnID
			if conn := registry.selectConn(test.preferredConn); conn != nil {
				selectedConn = conn.id
			}

			if selectedConn != test.wantConn {
				t.Errorf("selectConn returned connection %d, want connection %d (0 means no connection)", selectedConn, test.wantConn)
			}
			for id := ConnID(0); id <= ConnID(len(test.conns)); id++ {
				if isOnlyClient := registry.isOnlyClient(id); isOnlyClient != (id == test.onlyClient && id != 0) {
					t.Errorf("isOnlyClient returned %v for client connection %d; want true if and only if it is the only connection that is identified", isOnlyClient, id)
				}
			}
		})
	}
}
