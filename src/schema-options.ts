/** How ajv compiles the schemas, at run time and in the build alike. */
export const AJV_OPTIONS = { useDefaults: true, strict: false, logger: false } as const;
