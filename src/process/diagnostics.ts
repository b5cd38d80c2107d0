/**
 * The table of all diagnostics. Each has a code that never changes, a kind that programs switch on,
 * a message and a remedy. `{0}`, `{1}` … are replaced by the arguments.
 *
 * Ranges: 1xxx requests, 2xxx objects and change sets, 3xxx settings, 4xxx platform,
 * 5xxx links and peers, 6xxx command line.
 */

/** One row of the table. */
export type DiagnosticMessage = {
	readonly code: number;
	readonly kind: string;
	readonly message: string;
	readonly remedy: string;
};

/** A diagnostic with its arguments filled in. */
export type Diagnostic = {
	readonly code: number;
	readonly kind: string;
	readonly message: string;
	readonly remedy: string;
	/** File that contains the reported error, if any. */
	readonly file?: string;
	/** Line in `file`, counted from 1. */
	readonly line?: number;
};

/** Every diagnostic of the system. */
export const Diagnostics = {
	// 1xxx: requests
	Ticket_is_malformed: row(1001, 'TicketMalformed', 'The ticket {0} is not one that this system issued.', 'Obtain tickets with POST /v1/tickets and send them unchanged.'),
	Ticket_has_expired: row(1002, 'TicketExpired', 'The ticket {0} was not used within its lifetime.', 'Obtain a fresh ticket; nothing was started under this one.'),
	Ticket_is_foreign: row(1003, 'TicketForeign', 'The ticket {0} was issued to another caller.', 'Use tickets issued to your own token.'),
	Ticket_names_other_request: row(1004, 'TicketNamesOtherRequest', 'The ticket {0} was used for a request with other contents.', 'Use one ticket for one request; send it again unchanged.'),
	Token_is_missing: row(1010, 'TokenMissing', 'The request carries no bearer token.', 'Send the header "Authorization: Bearer <token>".'),
	Token_is_unknown: row(1011, 'TokenUnknown', 'The bearer token is not valid.', 'Ask an operator for a token.'),
	Body_is_too_large: row(1020, 'BodyTooLarge', 'The body is larger than {0} bytes.', 'Send smaller payloads or split the job.'),
	Body_is_invalid: row(1021, 'BodyInvalid', 'The body is not valid: {0}.', 'Correct the named fields; docs/API.md shows the form.'),
	Too_many_tasks: row(1022, 'TooManyTasks', 'The job has {0} tasks; the limit is {1}.', 'Split the job.'),
	Submission_is_unknown: row(1023, 'SubmissionUnknown', 'There is no submission object named {0} in configuration version {1}.', 'Name one that "kingcuplane get submissions" lists.'),
	Submission_is_not_allowed: row(1024, 'SubmissionNotAllowed', 'The team {0} may not use the submission {1}.', 'Ask an operator to set the team of the submission object.'),
	Payload_is_too_large: row(1025, 'PayloadTooLarge', 'A payload is larger than the {0} bytes that the service takes.', 'Send smaller payloads.'),
	Service_has_no_upstream: row(1030, 'ServiceHasNoUpstream', 'No upstream has announced itself for the service {0}.', 'Start an upstream with its agent, or come back later.'),
	Queue_is_full: row(1031, 'QueueFull', 'The queue of the service {0} is full ({1} tasks).', 'Come back after the stated time.'),
	Deadline_cannot_be_met: row(1032, 'DeadlineCannotBeMet', 'The queue of the service {0} needs about {1} ms; the deadline is {2} ms.', 'Come back after the stated time or allow a longer deadline.'),
	Quota_is_exhausted: row(1033, 'QuotaExhausted', 'The team {0} has used up its quota of {1} tasks.', 'Come back after the stated time or ask for a larger quota.'),
	Entry_is_draining: row(1034, 'EntryDraining', 'This entry is shutting down and takes no new work.', 'Send the request again; the balancer will choose another entry.'),
	Entry_is_not_ready: row(1035, 'EntryNotReady', 'This entry has no configuration in force yet.', 'Come back after the stated time.'),
	Fate_memory_is_full: row(1036, 'FateMemoryFull', 'The platform is unreachable and the memory for unsaved records is full.', 'Come back after the stated time; nothing was started.'),
	Request_memory_is_full: row(1037, 'RequestMemoryFull', 'The memory for requests is full, and this one has not been received whole.', 'Come back after the stated time, and send the whole request at once.'),
	Deadline_has_passed: row(1040, 'DeadlinePassed', 'The deadline of {0} ms passed.', 'See which tasks had started in the trail of this ticket.'),
	Deadline_has_become_out_of_reach: row(1049, 'DeadlineOutOfReach', 'The job has waited for so long that its deadline of {0} ms cannot be met any more.', 'Come back after the stated time.'),
	Objective_has_passed_while_waiting: row(1051, 'ObjectivePassedWaiting', 'The job has waited for room for so long that it cannot meet its objective any more, and none of it was begun.', 'Come back after the stated time.'),
	Objective_is_out_of_reach: row(1054, 'ObjectiveOutOfReach', 'More work waits before the job than can be started in the time that its objective leaves, and none of it was begun.', 'Come back after the stated time.'),
	Job_was_cancelled: row(1041, 'JobCancelled', 'The job was cancelled by {0}.', 'Submit again under a new ticket if it is still wanted.'),
	Task_failed: row(1042, 'TaskFailed', 'Task {0} failed at {1}: {2}.', 'See the trail of this ticket.'),
	Task_crashed_its_upstreams: row(1052, 'TaskCrashedUpstreams', 'Task {0} was running on {1} upstreams when they crashed, and is not started again.', 'Check its payload; see the trail of this ticket for the upstreams.'),
	Task_was_lost_repeatedly: row(1053, 'TaskLostRepeatedly', 'Task {0} was running on {1} upstreams when they were lost, and is not started again.', 'Check with the back end before submitting again under a new ticket.'),
	Task_may_have_run: row(1043, 'TaskMayHaveRun', 'Task {0} was sent to {1}, and its end is not known: {2}.', 'Check with the back end before submitting again under a new ticket.'),
	Home_is_lost: row(1044, 'HomeLost', 'The entry {0} that accepted this ticket is gone.', 'Check with the back end before submitting again under a new ticket.'),
	Home_is_unreachable: row(1045, 'HomeUnreachable', 'The entry {0} that answers for this ticket cannot be reached at present.', 'Ask again with the same ticket after the stated time.'),
	Fate_is_unknown: row(1046, 'FateUnknown', 'No record of the ticket {0} was found.', 'Check the ticket; records are kept for the time that docs/OPERATORS.md states.'),
	Fate_is_malformed: row(1048, 'FateMalformed', 'The record of a submission is not in a form that this version reads: {0}.', 'Read it with the version that wrote it, or report the fault.'),
	Answer_is_no_longer_kept: row(1047, 'AnswerNoLongerKept', 'The payloads of the answer to {0} are no longer kept.', 'Read the record of this ticket for its outcome; ask sooner next time.'),
	Route_is_unknown: row(1050, 'RouteUnknown', 'There is no {0} {1}.', 'See docs/API.md.'),
	Internal_fault: row(1099, 'InternalFault', 'An unexpected fault occurred: {0}.', 'Read the trail of the ticket and report the fault.'),
	// 2xxx: objects and change sets
	Objects_are_not_toml: row(2001, 'ObjectsNotToml', 'The file is not valid TOML: {0}.', 'Correct the syntax at this line.'),
	Field_is_unknown: row(2002, 'FieldUnknown', 'The {0} cannot have a field {1}.', 'Remove it or correct its name; the nearest known one is {2}.'),
	Field_is_missing: row(2003, 'FieldMissing', 'The {0} has no field {1}.', 'Add it; docs/REFERENCE.md lists all fields.'),
	Field_is_invalid: row(2004, 'FieldInvalid', 'The field {1} of the {0} is invalid: {2}.', 'Correct its value; docs/REFERENCE.md lists all fields.'),
	Kind_is_unknown: row(2005, 'KindUnknown', 'There is no kind of object named {0}.', 'Remove the table or correct its name; the nearest known one is {1}.'),
	Kind_is_not_a_list: row(2006, 'KindNotAList', 'The table {0} is not in the form of a list.', 'Write its header as [[{0}]].'),
	File_cannot_be_read: row(2007, 'FileUnreadable', 'The file {0} cannot be read: {1}.', 'Give the path of a readable file.'),
	Name_is_invalid: row(2010, 'NameInvalid', 'The name of the {0} is invalid.', 'Use 1 to 63 lower-case letters, digits, "-" or "."; start with a letter or digit.'),
	Object_is_repeated: row(2011, 'ObjectRepeated', 'The {0} occurs more than once in the change set.', 'Keep one of them.'),
	Field_is_out_of_range: row(2012, 'FieldOutOfRange', 'The field {1} of the {0} is {2}.', 'Choose a value from {3} to {4}.'),
	Reference_is_broken: row(2013, 'ReferenceBroken', 'The field {1} of the {0} names the {2}, which does not exist.', 'Add it to the change set or correct the name.'),
	Object_is_in_use: row(2014, 'ObjectInUse', 'The {0} cannot be deleted: the {1} refers to it.', 'Change or delete the {1} in the same set.'),
	Object_is_absent: row(2015, 'ObjectAbsent', 'The {0} cannot be deleted: it does not exist.', 'Remove the deletion or correct the name.'),
	Change_set_is_empty: row(2016, 'ChangeSetEmpty', 'The change set contains no changes.', 'Name files that contain objects or deletions.'),
	Change_set_id_is_invalid: row(2017, 'ChangeSetIdInvalid', 'The change set identifier {0} is invalid.', 'Use 1 to 63 lower-case letters, digits, "-" or "."; start with a letter or digit.'),
	Change_set_lacks_text: row(2018, 'ChangeSetLacksText', 'The change set states no {0}.', 'Add --{0}.'),
	Run_time_exceeds_deadline: row(2019, 'RunTimeExceedsDeadline', 'The {0} expects a run time of {1} ms; its deadline is {2} ms.', 'Allow a longer deadline or correct the run time.'),
	Change_set_conflicts: row(2020, 'ChangeSetConflicts', 'Version {0} by {1} ({2}) has changed the same objects meanwhile: {3}.', 'Compare with "kingcuplane diff", then publish with --base {0}.'),
	Base_is_unknown: row(2021, 'BaseUnknown', 'The change set was made for version {0}, but the newest version is {1}.', 'Check the platform address and --base.'),
	Base_is_too_old: row(2022, 'BaseTooOld', 'The change set was made for version {0}; {1} versions have followed.', 'Compare with "kingcuplane diff" and publish again with a newer --base.'),
	Change_set_id_is_taken: row(2023, 'ChangeSetIdTaken', 'The change set identifier {0} was used for other changes, published as version {1}.', 'Publish again with another --id.'),
	Publish_is_uncertain: row(2024, 'PublishUncertain', 'Whether the change set {0} was published is not known: {1}', 'Repeat the command with --id {0}; it is never published twice.'),
	Publish_has_failed: row(2025, 'PublishFailed', 'The change set {0} was not published: {1}', 'Repeat the command.'),
	Publish_is_contended: row(2026, 'PublishContended', 'The change set {0} was not published: other operators published first in {1} attempts.', 'Repeat the command.'),
	Snapshot_is_invalid: row(2030, 'SnapshotInvalid', 'The configuration from {0} cannot be read: {1}.', 'The version in force stays. Publish the objects again with this release of "kingcuplane".'),
	Snapshot_is_absent: row(2031, 'SnapshotAbsent', 'The configuration object {0} is not in the object store.', 'The version in force stays and the read is tried again. Check the platform.'),
	Row_is_invalid: row(2032, 'RowInvalid', 'The table row {0} cannot be read: {1}.', 'Check the platform address; restore the row from the audit trail.'),
	Version_was_overtaken: row(2033, 'VersionOvertaken', 'The store served version {0} although version {1} is in force.', 'The version in force stays; nothing needs to be done.'),
	Object_is_unused: row(2040, 'ObjectUnused', 'The {0} is not used: no {1} refers to it.', 'Delete it, or refer to it.'),
	Largest_jobs_are_refused: row(2041, 'LargestJobsRefused', 'The {0} allows jobs of {1} tasks, but the field {2} of the {3} is {4}, so the largest are always refused.', 'Allow fewer tasks a job, or raise {2}.'),
	Limit_has_no_effect: row(2042, 'LimitWithoutEffect', 'The field {0} of the {1} is {2}, but the field {3} of the {4} is {5}, and the shorter time applies.', 'Shorten the one or lengthen the other.'),
	Run_time_exceeds_timeout: row(2043, 'RunTimeExceedsTimeout', 'The {0} expects a run time of {1} ms, but the {2} ends tasks after {3} ms.', 'Raise taskTimeoutMs of the {2} or correct the run time.'),
	Route_never_matches: row(2044, 'RouteNeverMatches', 'The route {0} never matches: requests for {1} go to the route {2}.', 'Give it another host or prefix, or remove it.'),
	Path_prefix_never_matches: row(2045, 'PathPrefixNeverMatches', 'The route {0} never matches: its prefix "{1}" does not begin with "/".', 'Begin the prefix with "/".'),
	Route_allows_no_attempt: row(2046, 'RouteAllowsNoAttempt', 'The route {0} allows {1} attempts, but each task is run once at least.', 'Allow one attempt at least.'),
	Objective_exceeds_deadline: row(2047, 'ObjectiveExceedsDeadline', 'The objective of the route {0} has a margin of {1} ms, but its deadline is {2} ms.', 'Shorten the margin or allow a longer deadline.'),

	// 3xxx: settings
	Settings_are_not_toml: row(3001, 'SettingsNotToml', 'The settings are not valid TOML: {0}.', 'Correct the syntax at this line.'),
	Setting_is_unknown: row(3002, 'SettingUnknown', 'There is no setting {0}.', 'Remove it or correct its name; the nearest known one is {1}.'),
	Setting_is_missing: row(3003, 'SettingMissing', 'The setting {0} is missing.', 'Add it; docs/REFERENCE.md lists all settings.'),
	Setting_is_invalid: row(3004, 'SettingInvalid', 'The setting {0} is invalid: {1}.', 'Correct its value; docs/REFERENCE.md lists all settings.'),

	// 4xxx: platform
	Platform_is_unreachable: row(4001, 'PlatformUnreachable', 'The platform service did not answer: {0}.', 'Check the platform; the call is tried again.'),
	Platform_timed_out: row(4002, 'PlatformTimedOut', 'The platform service did not answer within {0} ms; a write may have taken effect.', 'Check the platform; the call is tried again.'),
	Platform_is_limiting: row(4003, 'PlatformLimiting', 'The platform service refused the call because of its rate limit.', 'The call is tried again after the stated time.'),
	Platform_answer_is_invalid: row(4004, 'PlatformAnswerInvalid', 'The platform service answered in an unexpected form: {0}.', 'Check the platform address in the settings.'),
	// 5xxx: links and peers

	// 6xxx: command line
	Option_is_missing: row(6001, 'OptionMissing', 'The option --{0} is missing.', 'Add --{0}{1}.'),
	Option_is_invalid: row(6002, 'OptionInvalid', 'The option --{0} is invalid: {1}.', 'Correct its value; "kingcuplane --help" lists all options.'),
	Object_is_unknown: row(6003, 'ObjectUnknown', 'There is no {0} in version {1}.', 'List the objects with "kingcuplane get".'),
	Object_kind_is_unknown: row(6004, 'ObjectKindUnknown', 'There is no kind of object named {0}.', 'Use one of {1}.'),
	Entry_is_unreachable: row(6005, 'EntryUnreachable', 'The entry at {0} did not answer: {1}.', 'Check --entry, or ask another entry.'),
	Entry_answer_is_invalid: row(6006, 'EntryAnswerInvalid', 'The entry at {0} answered in an unexpected form: {1}.', 'Check --entry, and that entry and command line are of the same release.'),
} as const;

/** Creates a diagnostic from a row of the table and its arguments. */
export function createDiagnostic(row: DiagnosticMessage, ...args: ReadonlyArray<string | number>): Diagnostic {
	return {
		code: row.code,
		kind: row.kind,
		message: format(row.message, args),
		remedy: format(row.remedy, args),
	};
}

/** Formats a diagnostic on one line: source location, code, message, remedy. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
	const location = diagnostic.file === undefined ? '' : `${diagnostic.file}${diagnostic.line === undefined ? '' : `:${diagnostic.line}`}: `;
	return `${location}KC${diagnostic.code} ${diagnostic.message} ${diagnostic.remedy}`;
}

function row<const K extends string>(code: number, kind: K, message: string, remedy: string): DiagnosticMessage & {readonly kind: K} {
	return {
		code, kind, message, remedy,
	};
}

function format(text: string, args: ReadonlyArray<string | number>): string {
	return text.replaceAll(/\{(\d+)\}/gv, (whole, index: string) => String(args[Number(index)] ?? whole));
}
