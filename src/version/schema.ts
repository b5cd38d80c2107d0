/**
 * Schemas of objects: as published, where all fields are required, and as written in TOML files, with defaults. All
 * schemas reject unknown fields.
 * Ranges, names and references are checked in `check.ts`.
 */
import {z} from 'zod';
import {
	objectKinds, type ConfigObject, type DataCentreObject, type ObjectKind, type ObjectName, type PolicyObject, type ServiceObject, type SubmissionObject, type TeamObject, type UpstreamObject,
} from './types.js';

const placementModes = ['response', 'messages'] as const;

/** Schema of a published policy. */
export const policySchema: z.ZodType<PolicyObject> = z.strictObject({
	kind: z.literal('policy'),
	name: z.string(),
	placement: z.enum(placementModes),
	maxQueuedTasks: z.int(),
	taskTimeout: z.int(),
	deadline: z.int(),
	retryPercent: z.number(),
	recordBeforeStart: z.boolean(),
	lookAhead: z.boolean().optional(),
});

/** Schema of a published service. */
export const serviceSchema: z.ZodType<ServiceObject> = z.strictObject({
	kind: z.literal('service'),
	name: z.string(),
	policy: z.string(),
	maxTasksPerJob: z.int(),
	maxPayload: z.int(),
});

/** Schema of a published upstream. */
export const upstreamSchema: z.ZodType<UpstreamObject> = z.strictObject({
	kind: z.literal('upstream'),
	name: z.string(),
	service: z.string(),
	slots: z.int(),
	drain: z.boolean(),
});

/** Schema of a published submission. */
export const submissionSchema: z.ZodType<SubmissionObject> = z.strictObject({
	kind: z.literal('submission'),
	name: z.string(),
	service: z.string(),
	team: z.string(),
	idempotent: z.boolean(),
	deadline: z.int(),
	expectedRun: z.int(),
});

/** Schema of a published team. */
export const teamSchema: z.ZodType<TeamObject> = z.strictObject({
	kind: z.literal('team'),
	name: z.string(),
	maxTasks: z.int(),
	weight: z.number(),
});

/** Schema of a published data centre. */
export const dataCentreSchema: z.ZodType<DataCentreObject> = z.strictObject({
	kind: z.literal('data-centre'),
	name: z.string(),
	drain: z.boolean(),
});

const policyTableSchema = z.strictObject({
	name: z.string(),
	placement: z.enum(placementModes).default('response'),
	maxQueuedTasks: z.int().default(10_000),
	taskTimeoutMs: z.int().default(30_000),
	deadlineMs: z.int().default(30_000),
	retryPercent: z.number().default(10),
	recordBeforeStart: z.boolean().default(false),
	lookAhead: z.boolean().optional(),
}).transform(({taskTimeoutMs, deadlineMs, ...rest}): PolicyObject => ({
	kind: 'policy', ...rest, taskTimeout: taskTimeoutMs, deadline: deadlineMs,
}));

const serviceTableSchema = z.strictObject({
	name: z.string(),
	policy: z.string(),
	maxTasksPerJob: z.int().default(1100),
	maxPayloadBytes: z.int().default(65_536),
}).transform(({maxPayloadBytes, ...rest}): ServiceObject => ({kind: 'service', ...rest, maxPayload: maxPayloadBytes}));

const upstreamTableSchema = z.strictObject({
	name: z.string(),
	service: z.string(),
	slots: z.int(),
	drain: z.boolean().default(false),
}).transform((rest): UpstreamObject => ({kind: 'upstream', ...rest}));

const submissionTableSchema = z.strictObject({
	name: z.string(),
	service: z.string(),
	team: z.string(),
	idempotent: z.boolean().default(false),
	deadlineMs: z.int().default(30_000),
	expectedRunMs: z.int().default(500),
}).transform(({deadlineMs, expectedRunMs, ...rest}): SubmissionObject => ({
	kind: 'submission', ...rest, deadline: deadlineMs, expectedRun: expectedRunMs,
}));

const teamTableSchema = z.strictObject({
	name: z.string(),
	maxTasks: z.int(),
	weight: z.number().default(1),
}).transform((rest): TeamObject => ({kind: 'team', ...rest}));

const dataCentreTableSchema = z.strictObject({
	name: z.string(),
	drain: z.boolean().default(false),
}).transform((rest): DataCentreObject => ({kind: 'data-centre', ...rest}));

/** Schemas of the tables in TOML files, by the kind that the table's header names. */
export const tableSchemas: Readonly<Record<ObjectKind, z.ZodType<ConfigObject>>> = {
	service: serviceTableSchema,
	upstream: upstreamTableSchema,
	policy: policyTableSchema,
	submission: submissionTableSchema,
	team: teamTableSchema,
	'data-centre': dataCentreTableSchema,
};

/** Schema of a `[[delete]]` table in TOML files. */
export const deleteTableSchema: z.ZodType<ObjectName> = z.strictObject({
	kind: z.enum(objectKinds),
	name: z.string(),
});
