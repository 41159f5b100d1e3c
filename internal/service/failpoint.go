package service

// Failpoints are faults that tests can enable, to show that the fault search finds them. They are compiled in only
// with the build tag 'planted': failpoint_on.go implements them. Without the tag, failpoint_off.go contains hooks
// that do nothing and are inlined. The hooks are called from:
//
//	Purge            failpoints.forgetsPurge
//	UpdateEndpoints  failpoints.delayDrains
//	CaughtUp         failpoints.watchAnswered
//	turn             failpoints.releaseDrains
//	outcomeOf        retryAfterConnectionLoss
