package simconfig

import "heathshed/placer"

// settings is the JSON form of the settings. It has one field for each key that Parse uses; the decoder
// ignores all other keys. The fields have the names of the keys. Fields whose names end in S are durations in
// seconds.
//
// Some keys differ from the terms of the code: a lane is a task class, an org is a tenant, and a kind or
// flavor is a node type. The key effect is the idempotency of a task class, keyScope is its deduplication
// domain, and mostTries is the maximum number of attempts. The key retryAfter is a switch: if it is true,
// rejections tell the client when to try again.
type settings struct {
	Discovery string `json:"discovery"`
	Extra     struct {
		AdmitMemory float64          `json:"admitMemory"`
		ApartBy     []string         `json:"apartBy"`
		Bound       bool             `json:"bound"`
		ClassKind   []int            `json:"classKind"`
		CoresByKind []float64        `json:"coresByKind"`
		Counts      string           `json:"counts"`
		CPUBooking  float64          `json:"cpuBooking"`
		FadesOver   []float64        `json:"fadesOver"`
		FreeInList  bool             `json:"freeInList"`
		FullUpTo    []float64        `json:"fullUpTo"`
		KindMemory  []float64        `json:"kindMemory"`
		Precedence  []int            `json:"precedence"`
		PushesOut   bool             `json:"pushesOut"`
		QuotaCores  []float64        `json:"quotaCores"`
		SaysYes     string           `json:"saysYes"`
		StartBonusS []placer.Seconds `json:"startBonusS"`
		TogetherMax []int            `json:"togetherMax"`
		YoungLimit  float64          `json:"youngLimit"`
		CheckAfterS placer.Seconds   `json:"checkAfterS"`
	} `json:"extra"`
	Flavors []string       `json:"flavors"`
	RoundS  placer.Seconds `json:"roundS"`
	Zones   []string       `json:"zones"`
	Lanes   []struct {
		Effect     string         `json:"effect"`
		HardLimitS placer.Seconds `json:"hardLimitS"`
		KeyScope   string         `json:"keyScope"`
		KeyTTLS    placer.Seconds `json:"keyTtlS"`
		LateValue  float64        `json:"lateValue"`
		ObjectiveS placer.Seconds `json:"objectiveS"`
		Worth      float64        `json:"worth"`
		Name       string         `json:"name"`
	} `json:"lanes"`
	LoadReport struct {
		Fields []string `json:"fields"`
	} `json:"loadReport"`
	Me     int `json:"me"`
	MyZone int `json:"myZone"`
	Orgs   []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"orgs"`
	OverShareWorth float64 `json:"overShareWorth"`
	PeersTotal     int     `json:"peersTotal"`
	Permissions    struct {
		ConnIdleS       placer.Seconds `json:"connIdleS"`
		ConnectTimeoutS placer.Seconds `json:"connectTimeoutS"`
		MaxRetryAfterS  placer.Seconds `json:"maxRetryAfterS"`
		MayDuplicate    bool           `json:"mayDuplicate"`
		MostTries       int            `json:"mostTries"`
		RetryAfter      bool           `json:"retryAfter"`
	} `json:"permissions"`
	Tariffs struct {
		Cross float64 `json:"crossZone"`
		Fleet float64 `json:"fleet"`
		Moves float64 `json:"moves"`
	} `json:"tariffs"`
	Rules struct {
		AnswerSlackS   placer.Seconds `json:"answerSlackS"`
		AskWithinS     placer.Seconds `json:"askWithinS"`
		ColdFrom       float64        `json:"coldFrom"`
		DrainGraceS    placer.Seconds `json:"drainGraceS"`
		FallS          placer.Seconds `json:"fallS"`
		OverloadFactor float64        `json:"overloadFactor"`
		WarmWithinS    placer.Seconds `json:"warmWithinS"`
	} `json:"rules"`
}
