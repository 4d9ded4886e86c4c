/**
 * Validators of the settings files. The build (scripts/build.mjs) replaces this module with code that ajv generates from the
 * same schemas, because compiling the schemas takes more processor time than the rest of the start.
 */
import { Ajv, type ValidateFunction } from 'ajv';
import operatorSchema from '../schema/operator.schema.json' with { type: 'json' };
import platformSchema from '../schema/platform.schema.json' with { type: 'json' };
import { AJV_OPTIONS } from './schema-options.js';

const ajv = new Ajv(AJV_OPTIONS);

/** Validates the settings that the platform provides, and fills in defaults. */
export const validatePlatform: ValidateFunction = ajv.compile(platformSchema);

/** Validates the settings that operators provide, and fills in defaults. */
export const validateOperator: ValidateFunction = ajv.compile(operatorSchema);
