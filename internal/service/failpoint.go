package service

// Failpoints are faults that tests switch on to show that the search for faults finds them. They are compiled in with
// the build tag 'planted' alone: failpoint_on.go has them, and without the tag failpoint_off.go has hooks that do
// nothing and are inlined away. The hooks:
//
//	Purge            failpoints.forgetsPurge
//	UpdateEndpoints  failpoints.delayDrains
//	CaughtUp         failpoints.watchAnswered
//	turn             failpoints.releaseDrains
//	outcomeOf        retryAfterConnectionLoss
