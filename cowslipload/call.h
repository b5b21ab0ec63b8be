#ifndef COWSLIPLOAD_CALL_H
#define COWSLIPLOAD_CALL_H

int ld_call (int argc, char **argv);

#endif
